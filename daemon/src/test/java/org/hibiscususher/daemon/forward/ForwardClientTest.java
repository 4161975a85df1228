package org.hibiscususher.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobRequestKind;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ForwardAnswered;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ForwardFailed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.PredecessorRelinquished;
import org.hibiscususher.daemon.control.Inbox;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A client between an entry and owners that a test scripts. */
class ForwardClientTest {
    private static final int WAIT_STEP_MS = 10;

    /** Longest wait for an input that must arrive. */
    private static final long MAX_WAIT_MS = 10_000;

    /** Time in which an input that must not arrive would have followed. */
    private static final long SETTLE_MS = 200;

    private static final JobResponse ACCEPTED = JobResponse.of(JobResponseKind.ACCEPTED);
    private static final JobRequest REQUEST =
            JobRequest.of(JobRequestKind.QUERY, "h", "/q/1", "", Optional.empty());

    private final EventLoopGroup mLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Inbox<SchedulerInput> mInbox = new Inbox<>();
    private final ForwardClient mClient = ForwardClient.create(mLoops, mInbox);
    private ScriptedEntry mOwner;

    @BeforeEach
    void setUp() throws IOException {
        mOwner = ScriptedEntry.start();
    }

    @AfterEach
    void tearDown() throws IOException {
        mOwner.close();
        mLoops.shutdownGracefully();
    }

    /** Returns an address on which nobody listens. */
    private static String closedAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    private void forward(long callId, ScriptedEntry owner) {
        mClient.forward(callId, owner.address(), REQUEST);
    }

    /** Returns the inputs that arrive within a time. */
    private List<SchedulerInput> inputsWithin(long timeoutMs) throws InterruptedException {
        List<SchedulerInput> inputs = new ArrayList<>();
        for (long t = 0; t < timeoutMs; t += WAIT_STEP_MS) {
            Thread.sleep(WAIT_STEP_MS);
            inputs.addAll(mInbox.drain());
        }
        return inputs;
    }

    /**
     * Returns the first inputs that arrive, and those that follow within a short time. Waits as
     * long as it takes on a machine whose processors are busy.
     */
    private List<SchedulerInput> nextInputs(int count) throws InterruptedException {
        List<SchedulerInput> inputs = new ArrayList<>();
        for (long t = 0; t < MAX_WAIT_MS && inputs.size() < count; t += WAIT_STEP_MS) {
            inputs.addAll(inputsWithin(WAIT_STEP_MS));
        }
        inputs.addAll(inputsWithin(SETTLE_MS));
        return inputs;
    }

    @Nested
    class CallsOfTheEntryItself {
        @Test
        void haveNoOutcomeIfTheOtherEntryIsDown() throws Exception {
            String address = closedAddress();
            mClient.offerHandover(address, 3);
            mClient.requestRelinquish(address, 4);
            assertThat(inputsWithin(1_000)).isEmpty();
        }

        @Test
        void haveNoOutcomeIfTheOtherEntryIsSilent() throws Exception {
            mClient.offerHandover(mOwner.address(), 3);
            mOwner.receive();
            mClient.requestRelinquish(mOwner.address(), 4);
            mOwner.receive();
            assertThat(inputsWithin(2_000)).isEmpty();
        }

        @Test
        void reportThatTheEarlierOwnerRelinquished() throws Exception {
            mClient.requestRelinquish(mOwner.address(), 4);
            mOwner.receive().answer(ACCEPTED);
            assertThat(nextInputs(1)).containsExactly(new PredecessorRelinquished(4));
        }

        @Test
        void reportNothingIfTheEarlierOwnerIsOverloaded() throws Exception {
            mClient.requestRelinquish(mOwner.address(), 4);
            mOwner.receive().answer(JobResponse.of(JobResponseKind.OVERLOADED));
            assertThat(inputsWithin(200)).isEmpty();
        }
    }

    @Nested
    class ChangeOfTheOwner {
        @Test
        void keepsRequestsToTheFormerOwnerUntilTheyAreAnswered() throws Exception {
            forward(1, mOwner);
            ScriptedEntry.Received first = mOwner.receive();
            try (ScriptedEntry next = ScriptedEntry.start()) {
                forward(2, next);
                next.receive();
                first.answer(ACCEPTED);
                assertThat(nextInputs(1)).containsExactly(new ForwardAnswered(1, ACCEPTED));
            }
        }

        @Test
        void closesTheFormerConnectionOnceAllIsAnswered() throws Exception {
            forward(1, mOwner);
            ScriptedEntry.Received first = mOwner.receive();
            try (ScriptedEntry next = ScriptedEntry.start()) {
                forward(2, next);
                next.receive();
                assertThat(mOwner.isConnectionEndedWithin(100)).isFalse();
                first.answer(ACCEPTED);
                assertThat(mOwner.isConnectionEndedWithin(1_000)).isTrue();
            }
        }

        @Test
        void isNoneIfTheTermIsOfferedElsewhere() throws Exception {
            forward(1, mOwner);
            ScriptedEntry.Received first = mOwner.receive();
            try (ScriptedEntry other = ScriptedEntry.start()) {
                mClient.offerHandover(other.address(), 3);
                other.receive();
                first.answer(ACCEPTED);
                assertThat(nextInputs(1)).containsExactly(new ForwardAnswered(1, ACCEPTED));
            }
        }
    }

    @Nested
    class Failure {
        @Test
        void isReportedWithTheAddressOfAnOwnerThatIsDown() throws Exception {
            String address = closedAddress();
            mClient.forward(1, address, REQUEST);
            assertThat(nextInputs(1)).containsExactly(new ForwardFailed(1, address, false));
        }

        @Test
        void isReportedForAnAddressThatCannotBeRead() throws Exception {
            mClient.forward(1, "nowhere", REQUEST);
            assertThat(nextInputs(1)).containsExactly(new ForwardFailed(1, "nowhere", false));
        }

        @Test
        void isReportedOnceForEachRequestOnAConnectionThatEnds() throws Exception {
            forward(1, mOwner);
            mOwner.receive();
            forward(2, mOwner);
            mOwner.receive().closeConnection();
            assertThat(inputsWithin(2_000))
                    .containsExactlyInAnyOrder(
                            new ForwardFailed(1, mOwner.address(), true),
                            new ForwardFailed(2, mOwner.address(), true));
        }
    }

    @Nested
    class Timeout {
        /** Time without a response after which a request fails. */
        private static final long TIMEOUT_MS = 1_500;

        private static final int MAX_ATTEMPTS = 10;

        /**
         * The steps up to the third request must all come within the timeout of the first one. An
         * attempt in which this thread was too slow for that shows nothing and is repeated.
         */
        @Test
        void failsOneRequestOfAConnectionThatStillAnswers() throws Exception {
            boolean played = false;
            for (int i = 0; i < MAX_ATTEMPTS && !played; i++) {
                try (ScriptedEntry owner = ScriptedEntry.start()) {
                    played = playOverdueRequest(owner, 10 * i);
                }
                mInbox.drain();
            }
            assertThat(played).as("an attempt within the timeout").isTrue();
        }

        /** Returns false if this thread was too slow. */
        private boolean playOverdueRequest(ScriptedEntry owner, int firstId) throws Exception {
            long startNs = System.nanoTime();
            forward(firstId + 1, owner);
            owner.receive();
            Thread.sleep(1_000);
            forward(firstId + 2, owner);
            long secondNs = System.nanoTime();
            ScriptedEntry.Received second = owner.receive();
            forward(firstId + 3, owner);
            owner.receive().answer(ACCEPTED);
            List<SchedulerInput> answered = inputsUntil(new ForwardAnswered(firstId + 3, ACCEPTED));
            if (msSince(startNs) >= TIMEOUT_MS) {
                return false;
            }
            assertThat(answered).containsExactly(new ForwardAnswered(firstId + 3, ACCEPTED));
            ForwardFailed overdue = new ForwardFailed(firstId + 1, owner.address(), true);
            List<SchedulerInput> failed = inputsUntil(overdue);
            second.answer(ACCEPTED);
            List<SchedulerInput> last = inputsUntil(new ForwardAnswered(firstId + 2, ACCEPTED));
            if (msSince(secondNs) >= TIMEOUT_MS) {
                return false;
            }
            assertThat(failed).containsExactly(overdue);
            assertThat(last).containsExactly(new ForwardAnswered(firstId + 2, ACCEPTED));
            return true;
        }

        /** Returns the inputs up to the given one, or all that arrive in a long time. */
        private List<SchedulerInput> inputsUntil(SchedulerInput expected)
                throws InterruptedException {
            List<SchedulerInput> inputs = new ArrayList<>();
            for (long t = 0; t < 2 * TIMEOUT_MS && !inputs.contains(expected); t += WAIT_STEP_MS) {
                inputs.addAll(inputsWithin(WAIT_STEP_MS));
            }
            return inputs;
        }

        private static long msSince(long startNs) {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
        }

        @Test
        void endsAConnectionThatHasGoneSilent() throws Exception {
            forward(1, mOwner);
            mOwner.receive();
            assertThat(inputsWithin(1_000)).isEmpty();
            forward(2, mOwner);
            assertThat(inputsWithin(800))
                    .containsExactly(
                            new ForwardFailed(1, mOwner.address(), true),
                            new ForwardFailed(2, mOwner.address(), true));
            assertThat(mOwner.isConnectionEndedWithin(500)).isTrue();
        }
    }

    @Nested
    class MalformedMessage {
        @Test
        void doesNotCutTheOtherRequestsOnItsConnection() throws Exception {
            forward(1, mOwner);
            ScriptedEntry.Received first = mOwner.receive();
            first.answerFrame(new byte[] {(byte) 0xff, (byte) 0xff, (byte) 0xff});
            first.answer(ACCEPTED);
            assertThat(nextInputs(1)).containsExactly(new ForwardAnswered(1, ACCEPTED));
        }
    }
}
