package org.hibiscususher.daemon.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.hibiscususher.core.message.AttemptOutcome;
import org.hibiscususher.core.message.Input.RequestArrived;
import org.hibiscususher.core.message.Input.RequestCancelled;
import org.hibiscususher.core.message.Input.TargetDone;
import org.hibiscususher.core.message.Refusal;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The traffic side over real sockets, against the bytes of callers and targets. */
class FrontServerTest {
    private static final String GET = "GET /lookups/seals?a=b HTTP/1.1\r\nHost: x\r\n\r\n";
    private static final String POST =
            "POST /lookups/orders HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody";
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    private static final String NOT_RUN = "\"ran\":\"not-run\"}\n";

    private FrontRig mRig;
    private ScriptedTarget mTarget;
    private CallerSocket mCaller;

    @BeforeEach
    void open() throws IOException {
        mRig = new FrontRig();
        mTarget = new ScriptedTarget();
        mCaller = new CallerSocket(mRig.address());
    }

    @AfterEach
    void leavesNothingBehind() throws IOException {
        mCaller.close();
        mTarget.close();
        assertThat(mRig.becomesIdle()).as("bytes in use: %s", mRig.bytesInUse()).isTrue();
        mRig.close();
        assertThat(mRig.inputsLeft()).isZero();
    }

    private RequestArrived sent(String request) throws IOException {
        mCaller.send(request);
        return mRig.arrival();
    }

    private RequestArrived running(String request) throws IOException {
        RequestArrived arrival = sent(request);
        mRig.start(arrival, 1, mTarget);
        mTarget.accept().read(request.endsWith("body") ? 4 : 0);
        return arrival;
    }

    /** Lets the target send a large answer while the test goes on. */
    private Thread sendInBackground(int size) {
        Thread sender =
                new Thread(
                        () -> {
                            try {
                                mTarget.send(
                                        "HTTP/1.1 200 OK\r\nContent-Length: "
                                                + size
                                                + "\r\n\r\n"
                                                + "x".repeat(size));
                            } catch (IOException e) {
                                throw new IllegalStateException(e);
                            }
                        });
        sender.start();
        return sender;
    }

    private void assertEnded(AttemptOutcome outcome) {
        assertThat(mRig.ended().outcome()).isEqualTo(outcome);
    }

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

    @Nested
    class Attempts {
        @Test
        void thatNobodyTakesSentNothing() throws IOException {
            RequestArrived arrival = sent(POST);
            String address = mTarget.address();
            mTarget.close();
            mRig.start(arrival, 1, address, FrontRig.LONG_RUN_MS);
            assertEnded(AttemptOutcome.NOT_CONNECTED);
            mRig.refuse(arrival, Refusal.TARGETS_FAILED);
            assertThat(mCaller.readTo("}\n")).startsWith("HTTP/1.1 502").endsWith(NOT_RUN);
        }

        @Test
        void thatATargetDeclinesMayBeRepeated() throws IOException {
            RequestArrived arrival = running(POST);
            mTarget.send("HTTP/1.1 503 No\r\nNot-Run: true\r\nContent-Length: 2\r\n\r\nno");
            assertEnded(AttemptOutcome.DECLINED);
            mRig.start(arrival, 2, mTarget);
            assertThat(mTarget.accept().read(4)).endsWith("body");
            mTarget.send(OK);
            assertThat(mCaller.readTo("ok")).startsWith("HTTP/1.1 200 OK");
            assertEnded(AttemptOutcome.ANSWERED);
        }

        @Test
        void endForTheCallerAtTheRunLimitAndForTheTargetWhenItAnswers() throws IOException {
            RequestArrived arrival = sent(POST);
            mRig.start(arrival, 1, mTarget.address(), 1_000);
            mTarget.accept().read(4);
            assertEnded(AttemptOutcome.TIMED_OUT);
            mRig.refuse(arrival, Refusal.OUTCOME_UNKNOWN);
            assertThat(mCaller.readTo("}\n")).contains("may-have-run");
            assertThat(mRig.inputsLeft()).isZero();
            mTarget.send(OK);
            assertThat(mRig.next(TargetDone.class).requestId()).isEqualTo(arrival.requestId());
        }

        @Test
        void endForTheTargetWhenItsLongestRunIsOver() throws IOException {
            RequestArrived arrival = sent(POST);
            mRig.start(arrival, 1, mTarget.address(), 50);
            mTarget.accept().read(4);
            assertEnded(AttemptOutcome.TIMED_OUT);
            mRig.refuse(arrival, Refusal.OUTCOME_UNKNOWN);
            mRig.next(TargetDone.class);
            assertThat(mTarget.isClosedByEntry()).isTrue();
        }

        @Test
        void thatStillAnswerWhenTheirLongestRunIsOverAreCutShort() throws IOException {
            RequestArrived arrival = sent(GET);
            mRig.start(arrival, 1, mTarget.address(), 200);
            mTarget.accept().read(0);
            mTarget.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort");
            mCaller.readTo("short");
            assertEnded(AttemptOutcome.TRUNCATED);
            assertThat(mCaller.isReset()).isTrue();
        }

        @Test
        void reuseConnectionsForIdempotentRequestsAlone() throws IOException {
            running(GET);
            mTarget.send(OK);
            mCaller.readTo("ok");
            assertEnded(AttemptOutcome.ANSWERED);
            mRig.start(sent(GET), 1, mTarget);
            mTarget.read(0);
            mTarget.send(OK);
            mCaller.readTo("ok");
            assertEnded(AttemptOutcome.ANSWERED);
            mRig.start(sent(POST), 1, mTarget);
            mTarget.accept().read(4);
            mTarget.send(OK);
            mCaller.readTo("ok");
            assertEnded(AttemptOutcome.ANSWERED);
        }

        @Test
        void areSentAgainWhenAnIdleConnectionTurnsOutClosed() throws IOException {
            running(GET);
            mTarget.send(OK);
            mCaller.readTo("ok");
            assertEnded(AttemptOutcome.ANSWERED);
            mRig.start(sent(GET), 1, mTarget);
            mTarget.read(0);
            mTarget.closeConnection();
            mTarget.accept().read(0);
            mTarget.send(OK);
            mCaller.readTo("ok");
            assertEnded(AttemptOutcome.ANSWERED);
        }
    }

    @Nested
    class CallersThatGo {
        @Test
        void beforeTheStartCancel() throws IOException {
            RequestArrived arrival = sent(POST);
            mCaller.close();
            assertThat(mRig.next(RequestCancelled.class).requestId())
                    .isEqualTo(arrival.requestId());
            mRig.start(arrival, 1, mTarget);
            assertEnded(AttemptOutcome.CANCELLED);
            mRig.refuse(arrival, Refusal.WAIT_LIMIT);
        }

        @Test
        void whileRunningLeaveTheTargetBusyUntilItAnswers() throws IOException {
            RequestArrived arrival = running(POST);
            mCaller.close();
            assertEnded(AttemptOutcome.CALLER_GONE);
            assertThat(mRig.inputsLeft()).isZero();
            mTarget.send(OK);
            assertThat(mRig.next(TargetDone.class).requestId()).isEqualTo(arrival.requestId());
        }

        @Test
        void whileRunningLeaveTheTargetBusyUntilItCloses() throws IOException {
            running(POST);
            mCaller.close();
            assertEnded(AttemptOutcome.CALLER_GONE);
            mTarget.closeConnection();
            mRig.next(TargetDone.class);
        }

        @Test
        void whileRunningLeaveTheTargetBusyUntilItsLongestRunIsOver() throws IOException {
            RequestArrived arrival = sent(POST);
            mRig.start(arrival, 1, mTarget.address(), 300);
            mTarget.accept().read(4);
            mCaller.close();
            assertEnded(AttemptOutcome.CALLER_GONE);
            mRig.next(TargetDone.class);
            assertThat(mTarget.isClosedByEntry()).isTrue();
        }

        @Test
        void inTheMiddleOfALargeAnswerLetTheTargetFinish() throws Exception {
            int size = 32 * 1024 * 1024;
            running(GET);
            Thread sender = sendInBackground(size);
            mCaller.readTo("x");
            assertThat(mRig.becomesBusy(64 * 1024)).isTrue();
            mCaller.close();
            assertEnded(AttemptOutcome.CALLER_GONE);
            mRig.next(TargetDone.class);
            sender.join();
        }

        @Test
        void betweenAttemptsCancel() throws IOException {
            RequestArrived arrival = running(POST);
            mTarget.send("HTTP/1.1 503 No\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n");
            assertEnded(AttemptOutcome.DECLINED);
            mCaller.close();
            assertThat(mRig.next(RequestCancelled.class).requestId())
                    .isEqualTo(arrival.requestId());
        }
    }

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
