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
import org.hibiscususher.core.control.ControlNode;
import org.hibiscususher.core.message.Input;
import org.hibiscususher.core.message.Output;

/**
 * The one thread that owns the control state.
 *
 * <p>It sleeps until the next tick is due or an input comes, runs a tick, and hands the outputs on.
 */
public final class ControlThread implements AutoCloseable {
    private static final Logger LOG = System.getLogger(ControlThread.class.getName());
    private static final long TICK_MS = 10;
    private static final long MIN_GAP_NS = 1_000_000;
    private static final long NS_PER_MS = 1_000_000;

    private final AgentRunner mRunner;

    private ControlThread(AgentRunner runner) {
        mRunner = runner;
    }

    /** Starts the thread. */
    public static ControlThread start(
            ControlNode node, EpochClock clock, Inbox inbox, OutputHandler handler) {
        Ticker ticker = new Ticker(requireNonNull(node), clock, inbox, handler);
        AgentRunner runner =
                new AgentRunner(new InboxIdleStrategy(inbox), ControlThread::fail, null, ticker);
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

    private static final class Ticker implements Agent {
        private final ControlNode mNode;
        private final EpochClock mClock;
        private final Inbox mInbox;
        private final OutputHandler mHandler;
        private long mLastTickMs;
        private long mLastTickNs = System.nanoTime() - MIN_GAP_NS;

        Ticker(ControlNode node, EpochClock clock, Inbox inbox, OutputHandler handler) {
            mNode = node;
            mClock = clock;
            mInbox = inbox;
            mHandler = handler;
        }

        @Override
        public int doWork() {
            awaitGap();
            List<Input> inputs = mInbox.drain();
            long nowMs = mClock.time();
            if (inputs.isEmpty() && nowMs - mLastTickMs < TICK_MS) {
                return 0;
            }
            mLastTickMs = nowMs;
            mLastTickNs = System.nanoTime();
            for (Output output : mNode.tick(nowMs, inputs)) {
                mHandler.handle(output);
            }
            return inputs.size();
        }

        /** Sleeps until the least time between two ticks has passed, so that inputs collect. */
        private void awaitGap() {
            long leftNs = mLastTickNs + MIN_GAP_NS - System.nanoTime();
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
        private final Inbox mInbox;

        InboxIdleStrategy(Inbox inbox) {
            mInbox = inbox;
        }

        @Override
        public void idle(int workCount) {
            if (workCount == 0) {
                idle();
            }
        }

        @Override
        public void idle() {
            mInbox.await(TICK_MS * NS_PER_MS);
        }

        @Override
        public void reset() {
            // Keeps no state.
        }
    }
}
