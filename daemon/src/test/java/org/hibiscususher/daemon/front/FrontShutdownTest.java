package org.hibiscususher.daemon.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.hibiscususher.core.message.AttemptOutcome;
import org.hibiscususher.core.message.Input.RequestArrived;
import org.hibiscususher.core.message.Input.RequestCancelled;
import org.hibiscususher.core.message.Input.TargetFinished;
import org.hibiscususher.core.message.Refusal;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests that no connection ends while a request that was read from it has no complete answer. */
class FrontShutdownTest extends FrontFixture {
    private static final int CALLERS = 45;

    /** Longer than a listener waits for the connections established so far. */
    private static final long BUSY_MS = 50;

    @Nested
    class Leaving {
        @Test
        void answersRequestsPipelinedBeforeTheResponseThatClosesTheConnection() throws IOException {
            mCaller.send(GET + GET);
            RequestArrived first = mHarness.nextArrival();
            mHarness.exchanges().setLeaving();
            mHarness.refuse(first, Refusal.ENTRY_LEAVING);
            mHarness.refuse(mHarness.nextArrival(), Refusal.WAIT_LIMIT);
            assertThat(mCaller.readToClose())
                    .containsSubsequence("entry-leaving", "connection: close", "wait-limit");
        }
    }

    @Nested
    class Closing {
        @Test
        void leavesRefusalReadableWhileTheCallerStillSends() throws IOException {
            int size = 16 * 1024 * 1024;
            mCaller.send("POST /lookups/x HTTP/1.1\r\nContent-Length: " + size + "\r\n\r\n");
            mCaller.send("b".repeat(size));
            assertThat(mCaller.readToClose()).startsWith("HTTP/1.1 413").endsWith(NOT_RUN);
        }

        @Test
        void startsNoRequestThatIsReadAfterCloseWasAnnounced() throws IOException {
            startRequest(GET);
            mHarness.exchanges().setLeaving();
            mTarget.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n");
            assertThat(mCaller.readTo("\r\n\r\n")).contains("connection: close");
            mCaller.send(POST.repeat(5));
            mTarget.send("ok");
            assertThat(mCaller.readToClose()).isEqualTo("ok");
            assertOutcome(AttemptOutcome.ANSWERED);
        }
    }

    @Nested
    class Draining {
        private void assertDrained() throws IOException {
            mCaller.close();
            assertThat(mHarness.drain()).isTrue();
        }

        @Test
        void closesIdleConnections() throws IOException {
            mHarness.refuse(sendRequest(GET), Refusal.WAIT_LIMIT);
            mCaller.readTo("}\n");
            assertThat(mHarness.drain()).isFalse();
            assertThat(mCaller.readToClose()).isEmpty();
            assertDrained();
        }

        @Test
        void waitsForOpenRequest() throws IOException {
            RequestArrived arrival = sendRequest(GET);
            assertThat(mHarness.drain()).isFalse();
            mHarness.refuse(arrival, Refusal.ENTRY_LEAVING);
            assertThat(mHarness.drain()).isFalse();
            assertThat(mCaller.readToClose()).endsWith(NOT_RUN);
            assertDrained();
        }

        @Test
        void waitsForRequestThatIsReadInPart() throws Exception {
            mCaller.send("GET /lookups/x HTTP/1.1\r\n");
            mHarness.stopAccepting();
            assertThat(mHarness.drain()).isFalse();
            mHarness.refuse(sendRequest("\r\n"), Refusal.ENTRY_LEAVING);
            assertThat(mHarness.drain()).isFalse();
            assertThat(mCaller.readToClose()).endsWith(NOT_RUN);
            assertDrained();
        }

        @Test
        void waitsForResponseToBeWritten() throws Exception {
            int size = 32 * 1024 * 1024;
            startRequest(GET);
            Thread sender = sendInBackground(size);
            assertThat(mCaller.readTo("\r\n\r\n")).startsWith("HTTP/1.1 200 OK");
            assertThat(mHarness.drain()).isFalse();
            assertThat(mCaller.countMismatches(size, 'x')).isZero();
            sender.join();
            assertOutcome(AttemptOutcome.ANSWERED);
            assertDrained();
        }
    }

    @Nested
    class StopAccepting {
        @Test
        void keepsConnectionsThatWereEstablishedBefore() throws Exception {
            List<CallerSocket> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                callers.add(new CallerSocket(mHarness.address()).send(GET));
            }
            mHarness.stopAccepting();
            mHarness.exchanges().setLeaving();
            for (int i = 0; i < CALLERS; i++) {
                mHarness.refuse(mHarness.nextArrival(), Refusal.ENTRY_LEAVING);
            }
            for (CallerSocket caller : callers) {
                assertThat(caller.readToClose()).endsWith(NOT_RUN);
                caller.close();
            }
        }

        /**
         * Guards against a listener that closes before its event loop, which had no processor for
         * some time, has accepted what was established meanwhile.
         */
        @Test
        void acceptsWhatWasEstablishedWhileTheEventLoopsWereBusy() throws Exception {
            CountDownLatch released = new CountDownLatch(1);
            mHarness.blockEventLoops(released);
            CallerSocket caller = new CallerSocket(mHarness.address()).send(GET);
            Thread stopper = new Thread(this::stopAccepting);
            stopper.start();
            Thread.sleep(BUSY_MS);
            released.countDown();
            stopper.join();
            mHarness.refuse(mHarness.nextArrival(), Refusal.ENTRY_LEAVING);
            assertThat(caller.readTo("}\n")).endsWith(NOT_RUN);
            caller.close();
        }

        private void stopAccepting() {
            try {
                mHarness.stopAccepting();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Nested
    class Deadline {
        @Test
        void refusesWaitingRequest() throws IOException {
            RequestArrived arrival = sendRequest(GET);
            mHarness.exchanges().setLeaving();
            mHarness.exchanges().refuseAll();
            assertThat(mCaller.readToClose()).contains("entry-leaving").endsWith(NOT_RUN);
            assertThat(mHarness.next(RequestCancelled.class).requestId())
                    .isEqualTo(arrival.requestId());
        }

        @Test
        void tellsThatOutcomeOfSentRequestIsUnknown() throws IOException {
            startRequest(POST);
            mHarness.exchanges().setLeaving();
            mHarness.exchanges().refuseAll();
            assertThat(mCaller.readToClose())
                    .contains("outcome-unknown")
                    .endsWith("\"ran\":\"may-have-run\"}\n");
            assertOutcome(AttemptOutcome.CALLER_GONE);
            mTarget.send(OK);
            mHarness.next(TargetFinished.class);
        }

        @Test
        void resetsConnectionWhoseResponseHasStarted() throws IOException {
            startRequest(GET);
            mTarget.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok");
            mCaller.readTo("ok");
            mHarness.exchanges().refuseAll();
            assertThat(mCaller.isReset()).isTrue();
            assertOutcome(AttemptOutcome.CALLER_GONE);
            mTarget.send("1234567");
            mHarness.next(TargetFinished.class);
        }
    }
}
