package org.hibiscususher.daemon.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.hibiscususher.core.message.AttemptOutcome;
import org.hibiscususher.core.message.Input.RequestArrived;
import org.hibiscususher.core.message.Refusal;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Answers of targets on their way to callers, whole and broken. */
class FrontResponsesTest extends FrontFixture {
    @Nested
    class Answers {
        @Test
        void arriveWholeOnAConnectionThatStaysOpen() throws IOException {
            running(GET);
            mTarget.send(OK);
            assertThat(mCaller.readTo("ok")).startsWith("HTTP/1.1 200 OK");
            assertEnded(AttemptOutcome.ANSWERED);
            running(POST);
            mTarget.send("HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nno");
            assertThat(mCaller.readTo("no")).startsWith("HTTP/1.1 500 Oops");
            assertEnded(AttemptOutcome.SERVER_ERROR);
        }

        @Test
        void areStreamedNoFasterThanTheCallerReads() throws Exception {
            int size = 32 * 1024 * 1024;
            running(GET);
            Thread sender = sendInBackground(size);
            mCaller.readTo("\r\n\r\n");
            long most = 0;
            for (int i = 0; i < 64; i++) {
                assertThat(mCaller.readCounting(size / 64, 'x')).isZero();
                most = Math.max(most, mRig.bytesInUse());
            }
            sender.join();
            assertEnded(AttemptOutcome.ANSWERED);
            assertThat(most).isLessThan(2 * 1024 * 1024);
        }

        @Test
        void withoutABodyEndAtOnce() throws IOException {
            running("HEAD /lookups/x HTTP/1.1\r\n\r\n");
            mTarget.send("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n");
            assertThat(mCaller.readTo("\r\n\r\n").toLowerCase()).contains("content-length: 99");
            assertEnded(AttemptOutcome.ANSWERED);
            running(POST);
            mTarget.send("HTTP/1.1 204 No Content\r\n\r\n");
            assertThat(mCaller.readTo("\r\n\r\n")).startsWith("HTTP/1.1 204");
            assertEnded(AttemptOutcome.ANSWERED);
            running(POST);
            mTarget.send("HTTP/1.1 304 Not Modified\r\n\r\n");
            assertThat(mCaller.readTo("\r\n\r\n")).startsWith("HTTP/1.1 304");
            assertEnded(AttemptOutcome.ANSWERED);
        }

        @Test
        void followProvisionalOnes() throws IOException {
            running(GET);
            mTarget.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + OK);
            assertThat(mCaller.readTo("ok")).startsWith("HTTP/1.1 200 OK");
            assertEnded(AttemptOutcome.ANSWERED);
        }

        @Test
        void mayComeBeforeTheRequestWasTakenWhole() throws IOException {
            int size = 1024 * 1024;
            RequestArrived arrival =
                    sent(
                            "POST /lookups/x HTTP/1.1\r\nContent-Length: "
                                    + size
                                    + "\r\n\r\n"
                                    + "b".repeat(size));
            mRig.start(arrival, 1, mTarget);
            mTarget.accept().read(0);
            mTarget.send(OK);
            assertThat(mCaller.readTo("ok")).startsWith("HTTP/1.1 200 OK");
            assertEnded(AttemptOutcome.ANSWERED);
            mTarget.closeConnection();
        }

        @Test
        void areChunkedForCallersThatKnowChunks() throws IOException {
            running(GET);
            mTarget.send(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
            assertThat(mCaller.readTo("0\r\n\r\n").toLowerCase())
                    .contains("transfer-encoding: chunked")
                    .endsWith("\r\n\r\n2\r\nok\r\n0\r\n\r\n");
            assertEnded(AttemptOutcome.ANSWERED);
        }

        @Test
        void endWithTheConnectionOfOldCallers() throws IOException {
            running("GET /lookups/x HTTP/1.0\r\n\r\n");
            mTarget.send(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
            assertThat(mCaller.readToClose()).endsWith("\r\n\r\nok").doesNotContain("chunked");
            assertEnded(AttemptOutcome.ANSWERED);
        }
    }

    @Nested
    class BrokenAnswers {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nshort",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\nzz\r\n"
                })
        void breakTheCallersConnection(String part) throws IOException {
            running(GET);
            mTarget.send(part);
            mTarget.closeConnection();
            assertEnded(AttemptOutcome.TRUNCATED);
            assertThat(mCaller.isReset()).isTrue();
        }

        @Test
        void resetOldCallersToo() throws IOException {
            running("GET /lookups/x HTTP/1.0\r\n\r\n");
            mTarget.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n");
            mCaller.readTo("short");
            mTarget.closeConnection();
            assertEnded(AttemptOutcome.TRUNCATED);
            assertThat(mCaller.isReset()).isTrue();
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "",
                    "HTTP/1.1 200 OK\r\nConte",
                    "HTTP/1.1 200 OK\r\n\r\nends with the connection",
                    "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                    "HTTP/1.1 101 Switching Protocols\r\n\r\n",
                    "nonsense\r\n\r\n"
                })
        void thatNeverBeganLeaveTheOutcomeUnknown(String part) throws IOException {
            RequestArrived arrival = running(POST);
            mTarget.send(part);
            mTarget.closeConnection();
            assertEnded(AttemptOutcome.BROKEN);
            mRig.refuse(arrival, Refusal.OUTCOME_UNKNOWN);
            assertThat(mCaller.readTo("}\n")).startsWith("HTTP/1.1 504").contains("may-have-run");
        }

        @Test
        void areNeverFollowedByARefusal() throws IOException {
            RequestArrived arrival = running(GET);
            mTarget.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort");
            mCaller.readTo("short");
            mRig.refuse(arrival, Refusal.WAIT_LIMIT);
            assertThat(mCaller.isReset()).isTrue();
            mTarget.closeConnection();
            assertEnded(AttemptOutcome.TRUNCATED);
        }
    }
}
