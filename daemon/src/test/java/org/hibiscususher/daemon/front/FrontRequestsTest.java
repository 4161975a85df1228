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

/** Tests how callers' requests are read, refused and sent to targets. */
class FrontRequestsTest extends FrontFixture {
    @Nested
    class Requests {
        @Test
        void areHandledOneByOneWhenPipelined() throws IOException {
            mCaller.send(GET + POST + GET);
            for (int i = 0; i < 3; i++) {
                RequestArrived arrival = mHarness.nextArrival();
                assertThat(mHarness.unreadInputs()).isZero();
                mHarness.refuse(arrival, Refusal.values()[i]);
                assertThat(mCaller.readTo("}\n")).contains(Refusal.values()[i].code());
            }
        }

        @Test
        void withConnectionCloseCloseConnection() throws IOException {
            startRequest("GET /lookups/x HTTP/1.1\r\nConnection: close\r\n\r\n");
            mTarget.send(OK);
            assertThat(mCaller.readToClose()).endsWith("ok");
            assertOutcome(AttemptOutcome.ANSWERED);
        }

        @Test
        void closeConnectionWhileEntryLeaves() throws IOException {
            startRequest(GET);
            mHarness.exchanges().setLeaving();
            mTarget.send(OK);
            assertThat(mCaller.readToClose().toLowerCase()).contains("connection: close");
            assertOutcome(AttemptOutcome.ANSWERED);
        }

        @Test
        void thatExpectContinueReceiveIt() throws IOException {
            mCaller.send(
                    "POST /lookups/x HTTP/1.1\r\nExpect: 100-continue\r\n"
                            + "Content-Length: 4\r\n\r\n");
            assertThat(mCaller.readTo("\r\n\r\n")).startsWith("HTTP/1.1 100");
            RequestArrived arrival = sendRequest("body");
            mHarness.start(arrival, 1, mTarget);
            assertThat(mTarget.accept().read(4).toLowerCase())
                    .doesNotContain("expect")
                    .endsWith("body");
            mTarget.send(OK);
            mCaller.readTo("ok");
            assertOutcome(AttemptOutcome.ANSWERED);
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "POST /lookups/x HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n",
                    "POST /lookups/x HTTP/1.1\r\nExpect: 100-continue\r\n"
                            + "Content-Length: 9999999\r\n\r\n"
                })
        void thatAreTooLargeAreRefused(String request) throws IOException {
            mCaller.send(request);
            assertThat(mCaller.readTo("}\n")).startsWith("HTTP/1.1 413").endsWith(NOT_RUN);
            assertThat(mHarness.countRefusals(Refusal.REQUEST_TOO_LARGE)).isEqualTo(1);
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
                    "POST /x HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: a\r\n\r\n",
                    "POST /x HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: -1\r\n\r\n",
                    "nonsense\r\n\r\n"
                })
        void thatAreMalformedAreRefused(String request) throws IOException {
            mCaller.send(request);
            assertThat(mCaller.readToClose()).startsWith("HTTP/1.1 400").endsWith(NOT_RUN);
            assertThat(mHarness.countRefusals(Refusal.REQUEST_MALFORMED)).isEqualTo(1);
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
        void startWithQueueName(String path, String queue, String rest) throws IOException {
            RequestArrived arrival = startRequest("GET " + path + " HTTP/1.1\r\n\r\n");
            assertThat(arrival.queue()).isEqualTo(queue);
            mTarget.send(OK);
            mCaller.readTo("ok");
            assertOutcome(AttemptOutcome.ANSWERED);
            mHarness.start(sendRequest("GET " + path + " HTTP/1.1\r\n\r\n"), 1, mTarget);
            assertThat(mTarget.read(0)).startsWith("GET " + rest + " HTTP/1.1\r\n");
            mTarget.send(OK);
            mCaller.readTo("ok");
            assertOutcome(AttemptOutcome.ANSWERED);
        }
    }

    @Nested
    class Headers {
        @Test
        void ofConnectionAndSecretAreNotForwarded() throws IOException {
            RequestArrived arrival =
                    sendRequest(
                            "POST /lookups/x HTTP/1.1\r\nAuthorization: Bearer secret\r\n"
                                    + "Connection: keep-alive, X-Hop, Content-Length\r\n"
                                    + "X-Hop: 1\r\nTE: trailers\r\nUpgrade: h2c\r\nX-End: 2\r\n"
                                    + "Idempotency-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n"
                                    + "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n");
            mHarness.start(arrival, 1, mTarget);
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
            assertOutcome(AttemptOutcome.ANSWERED);
        }

        @Test
        void declareIdempotence() throws IOException {
            assertThat(refuse("GET", "").idempotent()).isTrue();
            assertThat(refuse("POST", "").idempotent()).isFalse();
            assertThat(refuse("POST", "Idempotent: true\r\n").idempotent()).isTrue();
            assertThat(refuse("POST", "Idempotent: false\r\n").idempotent()).isFalse();
            assertThat(refuse("PUT", "Idempotent: false\r\n").idempotent()).isFalse();
        }

        private RequestArrived refuse(String method, String header) throws IOException {
            RequestArrived arrival =
                    sendRequest(
                            method + " /q/x HTTP/1.1\r\n" + header + "Content-Length: 0\r\n\r\n");
            mHarness.refuse(arrival, Refusal.KEY_MISSING);
            mCaller.readTo("}\n");
            return arrival;
        }
    }

    @Test
    void secondRefusalIsIgnored() throws IOException {
        RequestArrived arrival = sendRequest(GET);
        mHarness.refuse(arrival, Refusal.KEY_MISSING);
        mHarness.refuse(arrival, Refusal.WAIT_LIMIT);
        assertThat(mCaller.readTo("}\n")).contains("key-missing");
        mHarness.refuse(sendRequest(GET), Refusal.QUEUE_FULL);
        assertThat(mCaller.readTo("}\n")).contains("queue-full");
    }
}
