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

/** Tests how targets' responses are forwarded to callers, complete and incomplete ones. */
class FrontResponsesTest extends FrontFixture {
    @Nested
    class CompleteResponses {
        @Test
        void keepCallerConnectionOpen() throws IOException {
            startRequest(GET);
            mTarget.send(OK);
            assertThat(mCaller.readTo("ok")).startsWith("HTTP/1.1 200 OK");
            assertOutcome(AttemptOutcome.ANSWERED);
            startRequest(POST);
            mTarget.send("HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nno");
            assertThat(mCaller.readTo("no")).startsWith("HTTP/1.1 500 Oops");
            assertOutcome(AttemptOutcome.SERVER_ERROR);
        }

        @Test
        void areStreamedWithBoundedBuffering() throws Exception {
            int size = 32 * 1024 * 1024;
            startRequest(GET);
            Thread sender = sendInBackground(size);
            mCaller.readTo("\r\n\r\n");
            long maxBytesInUse = 0;
            for (int i = 0; i < 64; i++) {
                assertThat(mCaller.countMismatches(size / 64, 'x')).isZero();
                maxBytesInUse = Math.max(maxBytesInUse, mHarness.bytesInUse());
            }
            sender.join();
            assertOutcome(AttemptOutcome.ANSWERED);
            assertThat(maxBytesInUse).isLessThan(2 * 1024 * 1024);
        }

        @Test
        void withoutBodyEndAfterHeaders() throws IOException {
            startRequest("HEAD /lookups/x HTTP/1.1\r\n\r\n");
            mTarget.send("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n");
            assertThat(mCaller.readTo("\r\n\r\n").toLowerCase()).contains("content-length: 99");
            assertOutcome(AttemptOutcome.ANSWERED);
            startRequest(POST);
            mTarget.send("HTTP/1.1 204 No Content\r\n\r\n");
            assertThat(mCaller.readTo("\r\n\r\n")).startsWith("HTTP/1.1 204");
            assertOutcome(AttemptOutcome.ANSWERED);
            startRequest(POST);
            mTarget.send("HTTP/1.1 304 Not Modified\r\n\r\n");
            assertThat(mCaller.readTo("\r\n\r\n")).startsWith("HTTP/1.1 304");
            assertOutcome(AttemptOutcome.ANSWERED);
        }

        @Test
        void areForwardedAfterInformationalResponses() throws IOException {
            startRequest(GET);
            mTarget.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + OK);
            assertThat(mCaller.readTo("ok")).startsWith("HTTP/1.1 200 OK");
            assertOutcome(AttemptOutcome.ANSWERED);
        }

        @Test
        void areForwardedBeforeWholeRequestIsWritten() throws IOException {
            int size = 1024 * 1024;
            RequestArrived arrival =
                    sendRequest(
                            "POST /lookups/x HTTP/1.1\r\nContent-Length: "
                                    + size
                                    + "\r\n\r\n"
                                    + "b".repeat(size));
            mHarness.start(arrival, 1, mTarget);
            mTarget.accept().read(0);
            mTarget.send(OK);
            assertThat(mCaller.readTo("ok")).startsWith("HTTP/1.1 200 OK");
            assertOutcome(AttemptOutcome.ANSWERED);
            mTarget.closeConnection();
        }

        @Test
        void stayChunkedForHttp11Callers() throws IOException {
            startRequest(GET);
            mTarget.send(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
            assertThat(mCaller.readTo("0\r\n\r\n").toLowerCase())
                    .contains("transfer-encoding: chunked")
                    .endsWith("\r\n\r\n2\r\nok\r\n0\r\n\r\n");
            assertOutcome(AttemptOutcome.ANSWERED);
        }

        @Test
        void endWithConnectionForHttp10Callers() throws IOException {
            startRequest("GET /lookups/x HTTP/1.0\r\n\r\n");
            mTarget.send(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
            assertThat(mCaller.readToClose()).endsWith("\r\n\r\nok").doesNotContain("chunked");
            assertOutcome(AttemptOutcome.ANSWERED);
        }
    }

    @Nested
    class IncompleteResponses {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nshort",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\nzz\r\n"
                })
        void resetCallerConnection(String part) throws IOException {
            startRequest(GET);
            mTarget.send(part);
            mTarget.closeConnection();
            assertOutcome(AttemptOutcome.TRUNCATED);
            assertThat(mCaller.isReset()).isTrue();
        }

        @Test
        void resetHttp10CallerConnection() throws IOException {
            startRequest("GET /lookups/x HTTP/1.0\r\n\r\n");
            mTarget.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n");
            mCaller.readTo("short");
            mTarget.closeConnection();
            assertOutcome(AttemptOutcome.TRUNCATED);
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
        void thatCanNotBeForwardedLeaveOutcomeUnknown(String part) throws IOException {
            RequestArrived arrival = startRequest(POST);
            mTarget.send(part);
            mTarget.closeConnection();
            assertOutcome(AttemptOutcome.BROKEN);
            mHarness.refuse(arrival, Refusal.OUTCOME_UNKNOWN);
            assertThat(mCaller.readTo("}\n")).startsWith("HTTP/1.1 504").contains("may-have-run");
        }

        @Test
        void areNotFollowedByRefusal() throws IOException {
            RequestArrived arrival = startRequest(GET);
            mTarget.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort");
            mCaller.readTo("short");
            mHarness.refuse(arrival, Refusal.WAIT_LIMIT);
            assertThat(mCaller.isReset()).isTrue();
            mTarget.closeConnection();
            assertOutcome(AttemptOutcome.TRUNCATED);
        }
    }
}
