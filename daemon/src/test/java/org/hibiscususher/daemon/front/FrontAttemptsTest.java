package org.hibiscususher.daemon.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.hibiscususher.core.message.AttemptOutcome;
import org.hibiscususher.core.message.Input.RequestArrived;
import org.hibiscususher.core.message.Input.RequestCancelled;
import org.hibiscususher.core.message.Input.TargetFinished;
import org.hibiscususher.core.message.Refusal;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests attempts on targets, and callers that disconnect during them. */
class FrontAttemptsTest extends FrontFixture {
    @Nested
    class Attempts {
        @Test
        void toClosedPortEndAsNotConnected() throws IOException {
            RequestArrived arrival = sendRequest(POST);
            String address = mTarget.address();
            mTarget.close();
            mHarness.start(arrival, 1, address, FrontHarness.LONG_RUN_MS);
            assertOutcome(AttemptOutcome.NOT_CONNECTED);
            mHarness.refuse(arrival, Refusal.TARGETS_FAILED);
            assertThat(mCaller.readTo("}\n")).startsWith("HTTP/1.1 502").endsWith(NOT_RUN);
        }

        @Test
        void declinedByTargetMayBeRepeated() throws IOException {
            RequestArrived arrival = startRequest(POST);
            mTarget.send("HTTP/1.1 503 No\r\nNot-Run: true\r\nContent-Length: 2\r\n\r\nno");
            assertOutcome(AttemptOutcome.DECLINED);
            mHarness.start(arrival, 2, mTarget);
            assertThat(mTarget.accept().read(4)).endsWith("body");
            mTarget.send(OK);
            assertThat(mCaller.readTo("ok")).startsWith("HTTP/1.1 200 OK");
            assertOutcome(AttemptOutcome.ANSWERED);
        }

        @Test
        void endForCallerAtRunLimitAndForTargetWhenItResponds() throws IOException {
            RequestArrived arrival = sendRequest(POST);
            mHarness.start(arrival, 1, mTarget.address(), 1_000);
            mTarget.accept().read(4);
            assertOutcome(AttemptOutcome.TIMED_OUT);
            mHarness.refuse(arrival, Refusal.OUTCOME_UNKNOWN);
            assertThat(mCaller.readTo("}\n")).contains("may-have-run");
            assertThat(mHarness.unreadInputs()).isZero();
            mTarget.send(OK);
            assertThat(mHarness.next(TargetFinished.class).requestId())
                    .isEqualTo(arrival.requestId());
        }

        @Test
        void endForTargetAfterLongestRun() throws IOException {
            RequestArrived arrival = sendRequest(POST);
            mHarness.start(arrival, 1, mTarget.address(), 50);
            mTarget.accept().read(4);
            assertOutcome(AttemptOutcome.TIMED_OUT);
            mHarness.refuse(arrival, Refusal.OUTCOME_UNKNOWN);
            mHarness.next(TargetFinished.class);
            assertThat(mTarget.isClosedByFrontEnd()).isTrue();
        }

        @Test
        void truncateResponseAfterLongestRun() throws IOException {
            RequestArrived arrival = sendRequest(GET);
            mHarness.start(arrival, 1, mTarget.address(), 200);
            mTarget.accept().read(0);
            mTarget.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort");
            mCaller.readTo("short");
            assertOutcome(AttemptOutcome.TRUNCATED);
            assertThat(mCaller.isReset()).isTrue();
        }

        @Test
        void reuseConnectionsOnlyForIdempotentRequests() throws IOException {
            startRequest(GET);
            mTarget.send(OK);
            mCaller.readTo("ok");
            assertOutcome(AttemptOutcome.ANSWERED);
            mHarness.start(sendRequest(GET), 1, mTarget);
            mTarget.read(0);
            mTarget.send(OK);
            mCaller.readTo("ok");
            assertOutcome(AttemptOutcome.ANSWERED);
            mHarness.start(sendRequest(POST), 1, mTarget);
            mTarget.accept().read(4);
            mTarget.send(OK);
            mCaller.readTo("ok");
            assertOutcome(AttemptOutcome.ANSWERED);
        }

        @Test
        void areSentAgainIfReusedConnectionCloses() throws IOException {
            startRequest(GET);
            mTarget.send(OK);
            mCaller.readTo("ok");
            assertOutcome(AttemptOutcome.ANSWERED);
            mHarness.start(sendRequest(GET), 1, mTarget);
            mTarget.read(0);
            mTarget.closeConnection();
            mTarget.accept().read(0);
            mTarget.send(OK);
            mCaller.readTo("ok");
            assertOutcome(AttemptOutcome.ANSWERED);
        }
    }

    @Nested
    class CallerDisconnects {
        @Test
        void beforeStartCancelsRequest() throws IOException {
            RequestArrived arrival = sendRequest(POST);
            mCaller.close();
            assertThat(mHarness.next(RequestCancelled.class).requestId())
                    .isEqualTo(arrival.requestId());
            mHarness.start(arrival, 1, mTarget);
            assertOutcome(AttemptOutcome.CANCELLED);
            mHarness.refuse(arrival, Refusal.WAIT_LIMIT);
        }

        @Test
        void whileRunningKeepsTargetBusyUntilItResponds() throws IOException {
            RequestArrived arrival = startRequest(POST);
            mCaller.close();
            assertOutcome(AttemptOutcome.CALLER_GONE);
            assertThat(mHarness.unreadInputs()).isZero();
            mTarget.send(OK);
            assertThat(mHarness.next(TargetFinished.class).requestId())
                    .isEqualTo(arrival.requestId());
        }

        @Test
        void whileRunningKeepsTargetBusyUntilItCloses() throws IOException {
            startRequest(POST);
            mCaller.close();
            assertOutcome(AttemptOutcome.CALLER_GONE);
            mTarget.closeConnection();
            mHarness.next(TargetFinished.class);
        }

        @Test
        void whileRunningKeepsTargetBusyUntilLongestRun() throws IOException {
            RequestArrived arrival = sendRequest(POST);
            mHarness.start(arrival, 1, mTarget.address(), 300);
            mTarget.accept().read(4);
            mCaller.close();
            assertOutcome(AttemptOutcome.CALLER_GONE);
            mHarness.next(TargetFinished.class);
            assertThat(mTarget.isClosedByFrontEnd()).isTrue();
        }

        @Test
        void duringLargeResponseLetsTargetFinish() throws Exception {
            int size = 32 * 1024 * 1024;
            startRequest(GET);
            Thread sender = sendInBackground(size);
            mCaller.readTo("x");
            assertThat(mHarness.awaitBytesInUse(64 * 1024)).isTrue();
            mCaller.close();
            assertOutcome(AttemptOutcome.CALLER_GONE);
            mHarness.next(TargetFinished.class);
            sender.join();
        }

        @Test
        void betweenAttemptsCancelsRequest() throws IOException {
            RequestArrived arrival = startRequest(POST);
            mTarget.send("HTTP/1.1 503 No\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n");
            assertOutcome(AttemptOutcome.DECLINED);
            mCaller.close();
            assertThat(mHarness.next(RequestCancelled.class).requestId())
                    .isEqualTo(arrival.requestId());
        }
    }
}
