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

/** Attempts at targets, and callers that do not wait for them. */
class FrontAttemptsTest extends FrontFixture {
    @Nested
    class Attempts {
        @Test
        void thatNobodyTakesSentNothing() throws IOException {
            RequestArrived arrival = sent(POST);
            String address = mTarget.address();
            mTarget.close();
            mRig.start(arrival, 1, address, FrontHarness.LONG_RUN_MS);
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
            assertThat(mRig.next(TargetFinished.class).requestId()).isEqualTo(arrival.requestId());
        }

        @Test
        void endForTheTargetWhenItsLongestRunIsOver() throws IOException {
            RequestArrived arrival = sent(POST);
            mRig.start(arrival, 1, mTarget.address(), 50);
            mTarget.accept().read(4);
            assertEnded(AttemptOutcome.TIMED_OUT);
            mRig.refuse(arrival, Refusal.OUTCOME_UNKNOWN);
            mRig.next(TargetFinished.class);
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
            assertThat(mRig.next(TargetFinished.class).requestId()).isEqualTo(arrival.requestId());
        }

        @Test
        void whileRunningLeaveTheTargetBusyUntilItCloses() throws IOException {
            running(POST);
            mCaller.close();
            assertEnded(AttemptOutcome.CALLER_GONE);
            mTarget.closeConnection();
            mRig.next(TargetFinished.class);
        }

        @Test
        void whileRunningLeaveTheTargetBusyUntilItsLongestRunIsOver() throws IOException {
            RequestArrived arrival = sent(POST);
            mRig.start(arrival, 1, mTarget.address(), 300);
            mTarget.accept().read(4);
            mCaller.close();
            assertEnded(AttemptOutcome.CALLER_GONE);
            mRig.next(TargetFinished.class);
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
            mRig.next(TargetFinished.class);
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
}
