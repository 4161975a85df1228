package org.hibiscususher.daemon.control;

import static java.util.Objects.requireNonNull;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.agrona.concurrent.Agent;
import org.agrona.concurrent.AgentRunner;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.IdleStrategy;

/**
 * The single thread that reads and changes the control state.
 *
 * <p>It parks until an input arrives or the next tick is due, runs a tick, and passes the outputs
 * to their handler. After each tick it pauses, so that inputs collect into batches: a tick has a
 * fixed cost, and one tick per input would saturate the thread under load.
 */
public final class ControlThread implements AutoCloseable {
    private static final Logger LOG = System.getLogger(ControlThread.class.getName());

    /**
     * Shortest pause after a tick, in nanoseconds. After a tick that took longer, the pause is as
     * long as the tick, so that the thread uses at most half of a processor.
     */
    private static final long MIN_PAUSE_NS = 1_000_000;

    /**
     * Longest pause after a tick, in nanoseconds. A tick also takes long because the process was
     * suspended meanwhile, and must not leave the inputs unread for as long again.
     */
    private static final long MAX_PAUSE_NS = 50_000_000;

    private static final long NS_PER_MS = 1_000_000;

    private final AgentRunner mRunner;

    private ControlThread(AgentRunner runner) {
        mRunner = runner;
    }

    /**
     * Starts the thread.
     *
     * @param tickHandler control state, which no other thread may use
     * @param clock clock in milliseconds that never decreases
     * @param inbox queue from which inputs are read
     * @param outputHandler carries out the outputs
     * @param tickMs longest time between two ticks without an input, in milliseconds
     */
    public static <I, O> ControlThread start(
            TickHandler<I, O> tickHandler,
            EpochClock clock,
            Inbox<I> inbox,
            OutputHandler<O> outputHandler,
            long tickMs) {
        TickAgent<I, O> agent =
                new TickAgent<>(requireNonNull(tickHandler), clock, inbox, outputHandler, tickMs);
        AgentRunner runner =
                new AgentRunner(
                        new InboxIdleStrategy(inbox, tickMs),
                        ControlThread::logFailure,
                        null,
                        agent);
        AgentRunner.startOnThread(runner);
        return new ControlThread(runner);
    }

    private static void logFailure(Throwable cause) {
        LOG.log(Level.ERROR, "event=tick-failed", cause);
    }

    @Override
    public void close() {
        mRunner.close();
    }

    private static final class TickAgent<I, O> implements Agent {
        private final TickHandler<I, O> mTickHandler;
        private final EpochClock mClock;
        private final Inbox<I> mInbox;
        private final OutputHandler<O> mOutputHandler;
        private final long mTickMs;
        private long mLastTickMs;
        private long mPauseEndNs = System.nanoTime();

        TickAgent(
                TickHandler<I, O> tickHandler,
                EpochClock clock,
                Inbox<I> inbox,
                OutputHandler<O> outputHandler,
                long tickMs) {
            mTickHandler = tickHandler;
            mClock = clock;
            mInbox = inbox;
            mOutputHandler = outputHandler;
            mTickMs = tickMs;
        }

        @Override
        public int doWork() {
            pause();
            List<I> inputs = mInbox.drain();
            long nowMs = mClock.time();
            if (inputs.isEmpty() && nowMs - mLastTickMs < mTickMs) {
                return 0;
            }
            mLastTickMs = nowMs;
            long startNs = System.nanoTime();
            mTickHandler.tick(nowMs, inputs).forEach(this::carryOut);
            long endNs = System.nanoTime();
            long pauseNs = Math.min(MAX_PAUSE_NS, Math.max(MIN_PAUSE_NS, endNs - startNs));
            mPauseEndNs = endNs + pauseNs;
            return inputs.size();
        }

        /**
         * Carries out an output; its failure must not keep the next ones from being carried out.
         */
        private void carryOut(O output) {
            try {
                mOutputHandler.handle(output);
            } catch (RuntimeException e) {
                String type = output.getClass().getSimpleName();
                LOG.log(Level.ERROR, "event=output-failed output=" + type, e);
            }
        }

        /** Parks until the pause after the last tick is over. */
        private void pause() {
            long remainingNs = mPauseEndNs - System.nanoTime();
            if (remainingNs > 0) {
                LockSupport.parkNanos(this, remainingNs);
            }
        }

        @Override
        public String roleName() {
            return "control";
        }
    }

    /** Parks until an input arrives or the next tick is due. */
    private static final class InboxIdleStrategy implements IdleStrategy {
        private final Inbox<?> mInbox;
        private final long mTickMs;

        InboxIdleStrategy(Inbox<?> inbox, long tickMs) {
            mInbox = inbox;
            mTickMs = tickMs;
        }

        @Override
        public void idle(int workCount) {
            if (workCount == 0) {
                idle();
            }
        }

        @Override
        public void idle() {
            mInbox.await(mTickMs * NS_PER_MS);
        }

        @Override
        public void reset() {
            // There is no state to reset.
        }
    }
}
