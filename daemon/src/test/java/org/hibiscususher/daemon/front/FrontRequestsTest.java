package org.hibiscususher.daemon.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.hibiscususher.core.message.AttemptOutcome;
import org.hibiscususher.core.message.Input.RequestArrived;
import org.hibiscususher.core.message.Refusal;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What callers send. */
class FrontRequestsTest extends FrontFixture {
    @Nested
    class Callers {
        @Test
        void mayPipeline() throws IOException {
            mCaller.send(GET + POST + GET);
            for (int i = 0; i < 3; i++) {
                RequestArrived arrival = mRig.arrival();
                assertThat(mRig.inputsLeft()).isZero();
                mRig.refuse(arrival, Refusal.values()[i]);
                assertThat(mCaller.readTo("}\n")).contains(Refusal.values()[i].code());
            }
        }

        @Test
        void whoWantToCloseAreClosed() throws IOException {
            running("GET /lookups/x HTTP/1.1\r\nConnection: close\r\n\r\n");
            mTarget.send(OK);
            assertThat(mCaller.readToClose()).endsWith("ok");
            assertEnded(AttemptOutcome.ANSWERED);
        }

        @Test
        void areToldToGoElsewhereWhenTheEntryLeaves() throws IOException {
            running(GET);
            mRig.exchanges().setLeaving();
            mTarget.send(OK);
            assertThat(mCaller.readToClose().toLowerCase()).contains("connection: close");
            assertEnded(AttemptOutcome.ANSWERED);
        }

        @Test
        void whoExpectContinueGetIt() throws IOException {
            mCaller.send(
                    "POST /lookups/x HTTP/1.1\r\nExpect: 100-continue\r\n"
                            + "Content-Length: 4\r\n\r\n");
            assertThat(mCaller.readTo("\r\n\r\n")).startsWith("HTTP/1.1 100");
            RequestArrived arrival = sent("body");
            mRig.start(arrival, 1, mTarget);
            assertThat(mTarget.accept().read(4).toLowerCase())
                    .doesNotContain("expect")
                    .endsWith("body");
            mTarget.send(OK);
            mCaller.readTo("ok");
            assertEnded(AttemptOutcome.ANSWERED);
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "POST /lookups/x HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n",
                    "POST /lookups/x HTTP/1.1\r\nExpect: 100-continue\r\n"
                            + "Content-Length: 9999999\r\n\r\n"
                })
        void whoSendTooMuchAreRefused(String request) throws IOException {
            mCaller.send(request);
            assertThat(mCaller.readTo("}\n")).startsWith("HTTP/1.1 413").endsWith(NOT_RUN);
            assertThat(mRig.refusals(Refusal.REQUEST_TOO_LARGE)).isEqualTo(1);
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "GET /lookups/x HTTP/1.1\r\nWait-Limit-Ms: soon\r\n\r\n",
                    "GET /lookups/x HTTP/1.1\r\nNeeds-Cores: 99999999999\r\n\r\n",
                    "GET /lookups/x HTTP/1.1\r\nNeeds-Memory-Gb: -1\r\n\r\n",
                    "GET http://elsewhere/lookups/x HTTP/1.1\r\n\r\n",
                    "OPTIONS * HTTP/1.1\r\n\r\n",
                    "CONNECT elsewhere:80 HTTP/1.1\r\n\r\n",
                    "POST /x HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
                    "nonsense\r\n\r\n"
                })
        void whoCannotBeUnderstoodAreRefused(String request) throws IOException {
            mCaller.send(request);
            assertThat(mCaller.readToClose()).startsWith("HTTP/1.1 400").endsWith(NOT_RUN);
            assertThat(mRig.refusals(Refusal.REQUEST_MALFORMED)).isEqualTo(1);
        }
    }

    @Nested
    class Paths {
        @ParameterizedTest
        @CsvSource({
            "/lookups,lookups,/",
            "/lookups/,lookups,/",
            "/lookups?a=/b,lookups,/?a=/b",
            "/lookups/a/b?c=d/e,lookups,/a/b?c=d/e",
            "//a,'',/a",
            "/,'',/"
        })
        void nameTheQueueFirst(String path, String queue, String rest) throws IOException {
            RequestArrived arrival = running("GET " + path + " HTTP/1.1\r\n\r\n");
            assertThat(arrival.queue()).isEqualTo(queue);
            mTarget.send(OK);
            mCaller.readTo("ok");
            assertEnded(AttemptOutcome.ANSWERED);
            mRig.start(sent("GET " + path + " HTTP/1.1\r\n\r\n"), 1, mTarget);
            assertThat(mTarget.read(0)).startsWith("GET " + rest + " HTTP/1.1\r\n");
            mTarget.send(OK);
            mCaller.readTo("ok");
            assertEnded(AttemptOutcome.ANSWERED);
        }
    }

    @Nested
    class Headers {
        @Test
        void ofOneConnectionAndTheKeyStayHere() throws IOException {
            RequestArrived arrival =
                    sent(
                            "POST /lookups/x HTTP/1.1\r\nAuthorization: Bearer secret\r\n"
                                    + "Connection: keep-alive, X-Hop, Content-Length\r\n"
                                    + "X-Hop: 1\r\nTE: trailers\r\nUpgrade: h2c\r\nX-End: 2\r\n"
                                    + "Idempotency-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n"
                                    + "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n");
            mRig.start(arrival, 1, mTarget);
            String seen = mTarget.accept().read(4).toLowerCase();
            assertThat(seen)
                    .contains("x-end: 2", "idempotency-key: k", "content-length: 4")
                    .doesNotContain("secret", "x-hop", "te:", "upgrade", "chunked")
                    .endsWith("body");
            mTarget.send(
                    "HTTP/1.1 200 OK\r\nConnection: X-Back\r\nX-Back: 1\r\nKeep-Alive: 5\r\n"
                            + "X-End: 3\r\nContent-Length: 2\r\n\r\nok");
            assertThat(mCaller.readTo("ok").toLowerCase())
                    .contains("x-end: 3")
                    .doesNotContain("x-back", "keep-alive");
            assertEnded(AttemptOutcome.ANSWERED);
        }

        @Test
        void sayWhetherRunningTwiceDoesHarm() throws IOException {
            assertThat(refused("GET", "").idempotent()).isTrue();
            assertThat(refused("POST", "").idempotent()).isFalse();
            assertThat(refused("POST", "Idempotent: true\r\n").idempotent()).isTrue();
            assertThat(refused("POST", "Idempotent: false\r\n").idempotent()).isFalse();
            assertThat(refused("PUT", "Idempotent: false\r\n").idempotent()).isFalse();
        }

        private RequestArrived refused(String method, String header) throws IOException {
            RequestArrived arrival =
                    sent(method + " /q/x HTTP/1.1\r\n" + header + "Content-Length: 0\r\n\r\n");
            mRig.refuse(arrival, Refusal.KEY_MISSING);
            mCaller.readTo("}\n");
            return arrival;
        }
    }

    @Test
    void aSecondRefusalIsIgnored() throws IOException {
        RequestArrived arrival = sent(GET);
        mRig.refuse(arrival, Refusal.KEY_MISSING);
        mRig.refuse(arrival, Refusal.WAIT_LIMIT);
        assertThat(mCaller.readTo("}\n")).contains("key-missing");
        mRig.refuse(sent(GET), Refusal.QUEUE_FULL);
        assertThat(mCaller.readTo("}\n")).contains("queue-full");
    }
}
