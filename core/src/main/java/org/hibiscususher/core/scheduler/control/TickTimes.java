package org.hibiscususher.core.scheduler.control;

import org.hibiscususher.core.scheduler.message.SchedulerInput.RequestReceived;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Measure;
import org.hibiscususher.core.scheduler.world.SchedulerTick;

/**
 * How long each system took in one tick.
 *
 * <p>Slow ticks delay everything that the control thread does, such as the renewal of leases; the
 * log then tells which system is the cause. Not thread-safe.
 */
final class TickTimes {
    /** Time from which a tick is logged as slow, in milliseconds. */
    private static final long SLOW_TICK_MS = 20;

    /** Time from which a system is named in the log line of a slow tick, in milliseconds. */
    private static final long NAMED_SYSTEM_MS = 2;

    private static final long NS_PER_MS = 1_000_000;

    private final long[] mSystemNs = new long[SchedulerPhase.values().length];
    private final long mStartNs;
    private long mLastNs;

    private TickTimes(long startNs) {
        mStartNs = startNs;
        mLastNs = startNs;
    }

    /** Begins the measurement of a tick, at a time in nanoseconds. */
    static TickTimes start(long startNs) {
        return new TickTimes(startNs);
    }

    /** Records that a system has ended, at a time in nanoseconds. */
    void record(SchedulerPhase phase, long nowNs) {
        mSystemNs[phase.ordinal()] += nowNs - mLastNs;
        mLastNs = nowNs;
    }

    /** Adds the time of the tick to the metrics, and logs a slow one with its slow systems. */
    void report(SchedulerTick tick) {
        long tookMs = (mLastNs - mStartNs) / NS_PER_MS;
        if (tookMs >= 1) {
            tick.emit(new Measure("tick", tookMs));
        }
        if (tookMs >= SLOW_TICK_MS) {
            tick.log("tick-slow", describe(tick, tookMs));
        }
    }

    private String describe(SchedulerTick tick, long tookMs) {
        StringBuilder line = new StringBuilder();
        line.append("took_ms=").append(tookMs);
        line.append(" inputs=").append(tick.inputs().size());
        line.append(" requests=").append(tick.inputs(RequestReceived.class).size());
        line.append(" unfinished_tasks=").append(tick.world().tasks().rows().size());
        line.append(" pending_requests=").append(tick.world().pendingRequests().rows().size());
        for (SchedulerPhase phase : SchedulerPhase.values()) {
            long systemMs = mSystemNs[phase.ordinal()] / NS_PER_MS;
            if (systemMs >= NAMED_SYSTEM_MS) {
                line.append(' ').append(phase.name()).append('=').append(systemMs);
            }
        }
        return line.toString();
    }
}
