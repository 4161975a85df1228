package org.hibiscususher.daemon.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ControlThreadTest {
    private static final int TICK_MS = 5;
    private static final int TIMEOUT_S = 10;
    private static final String FAULTY = "faulty";

    private final Inbox<String> mInbox = new Inbox<>();
    private final BlockingQueue<String> mHandled = new LinkedBlockingQueue<>();

    /** Starts a thread whose outputs are its inputs. */
    private ControlThread start(TickHandler<String, String> tickHandler) {
        return ControlThread.start(
                tickHandler, new MonotonicClock(), mInbox, this::handle, TICK_MS);
    }

    private void handle(String output) {
        if (output.equals(FAULTY)) {
            throw new IllegalStateException("a fault of the program");
        }
        mHandled.add(output);
    }

    @Nested
    class FailedOutput {
        @Test
        void leavesTheOutputsAfterItToBeCarriedOut() throws InterruptedException {
            mInbox.add("before");
            mInbox.add(FAULTY);
            mInbox.add("after");
            ControlThread thread = start((nowMs, inputs) -> inputs);
            assertThat(mHandled.poll(TIMEOUT_S, TimeUnit.SECONDS)).isEqualTo("before");
            assertThat(mHandled.poll(TIMEOUT_S, TimeUnit.SECONDS)).isEqualTo("after");
            thread.close();
        }
    }

    /** Guards against a process that reads nothing for as long as it was suspended before. */
    @Nested
    class TickThatTakesLong {
        private static final long TICK_TAKES_MS = 3_000;
        private static final long NEXT_LIMIT_MS = 1_500;

        @Test
        void doesNotDelayTheNextOneAsLong() throws InterruptedException {
            ControlThread thread = start(TickThatTakesLong::handleSlowly);
            mInbox.add("slow");
            assertThat(mHandled.poll(TIMEOUT_S, TimeUnit.SECONDS)).isEqualTo("slow");
            mInbox.add("next");
            assertThat(mHandled.poll(NEXT_LIMIT_MS, TimeUnit.MILLISECONDS)).isEqualTo("next");
            thread.close();
        }

        private static List<String> handleSlowly(long nowMs, List<String> inputs) {
            if (inputs.contains("slow")) {
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(TICK_TAKES_MS));
            }
            return inputs;
        }
    }
}
