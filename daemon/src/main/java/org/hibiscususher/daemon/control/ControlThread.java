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
 * The one thread that owns the control state.
 *
 * <p>It sleeps until the next tick is due or an input comes, runs a tick, and hands the outputs on.
 */
public final class ControlThread implements AutoCloseable {
    private static final Logger LOG = System.getLogger(ControlThread.class.getName());

    /**
     * Least rest between two ticks, in nanoseconds; a tick that took longer is followed by as much.
     */
    private static final long MIN_REST_NS = 1_000_000;

    private static final long NS_PER_MS = 1_000_000;

    private final AgentRunner mRunner;

    private ControlThread(AgentRunner runner) {
        mRunner = runner;
    }

    /**
     * Starts the thread.
     *
     * @param node control state
     * @param clock clock of the ticks
     * @param inbox where inputs come from
     * @param handler carries out the outputs
     * @param tickMs longest time between two ticks, in milliseconds
     */
    public static <I, O> ControlThread start(
            TickHandler<I, O> node,
            EpochClock clock,
            Inbox<I> inbox,
            OutputHandler<O> handler,
            long tickMs) {
        Ticker<I, O> ticker = new Ticker<>(requireNonNull(node), clock, inbox, handler, tickMs);
        AgentRunner runner =
                new AgentRunner(
                        new InboxIdleStrategy(inbox, tickMs), ControlThread::fail, null, ticker);
        AgentRunner.startOnThread(runner);
        return new ControlThread(runner);
    }

    private static void fail(Throwable cause) {
        LOG.log(Level.ERROR, "event=tick-failed", cause);
    }

    @Override
    public void close() {
        mRunner.close();
    }

    private static final class Ticker<I, O> implements Agent {
        private final TickHandler<I, O> mNode;
        private final EpochClock mClock;
        private final Inbox<I> mInbox;
        private final OutputHandler<O> mHandler;
        private final long mTickMs;
        private long mLastTickMs;
        private long mNextTickNs = System.nanoTime();

        Ticker(
                TickHandler<I, O> node,
                EpochClock clock,
                Inbox<I> inbox,
                OutputHandler<O> handler,
                long tickMs) {
            mNode = node;
            mClock = clock;
            mInbox = inbox;
            mHandler = handler;
            mTickMs = tickMs;
        }

        @Override
        public int doWork() {
            rest();
            List<I> inputs = mInbox.drain();
            long nowMs = mClock.time();
            if (inputs.isEmpty() && nowMs - mLastTickMs < mTickMs) {
                return 0;
            }
            mLastTickMs = nowMs;
            long startNs = System.nanoTime();
            for (O output : mNode.tick(nowMs, inputs)) {
                mHandler.handle(output);
            }
            long endNs = System.nanoTime();
            mNextTickNs = endNs + Math.max(MIN_REST_NS, endNs - startNs);
            return inputs.size();
        }

        /** Sleeps until the next tick may begin, so that inputs collect. */
        private void rest() {
            long leftNs = mNextTickNs - System.nanoTime();
            if (leftNs > 0) {
                LockSupport.parkNanos(this, leftNs);
            }
        }

        @Override
        public String roleName() {
            return "control";
        }
    }

    /** Sleeps until an input comes or the next tick is due. */
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
            // Keeps no state.
        }
    }
}
