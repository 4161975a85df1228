package org.hibiscususher.core.scheduler.executor;

import org.hibiscususher.core.scheduler.message.SchedulerInput.StartCallCompleted;
import org.hibiscususher.core.scheduler.world.ExecutorSessionRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;

/**
 * Tells from the clock in the answer to a start order whether the executor has restarted since its
 * last heartbeat. An answer to an order does not name the incarnation that gave it, but the clock
 * begins anew with each.
 */
final class IncarnationClock {
    /** By how much more a clock may lag than its rate explains, in milliseconds. */
    private static final long TOLERANCE_MS = 60;

    private IncarnationClock() {}

    /**
     * Returns whether an executor's clock is behind the least time that the known incarnation's can
     * show. Only then would an order hold its run for longer than this owner expects.
     *
     * @param run the run whose start was answered
     * @param executorClockMs time on the executor's clock when it answered, in milliseconds
     */
    static boolean beganAnew(SchedulerTick tick, RunRow run, long executorClockMs) {
        ExecutorSessionRow session =
                tick.world().executorSessions().find(run.executor()).orElse(null);
        boolean known = session != null && session.startedAtMs() != 0;
        if (!known || executorClockMs == StartCallCompleted.UNKNOWN_CLOCK_MS) {
            return false;
        }
        boolean beganAnew = executorClockMs < leastClockMs(session, run.sentMs());
        if (beganAnew) {
            log(tick, session, executorClockMs);
        }
        return beganAnew;
    }

    /** Returns the least time on the clock of the known incarnation at a time of ours. */
    private static long leastClockMs(ExecutorSessionRow session, long atMs) {
        long elapsedMs = atMs - session.clockReadAtMs();
        long leastElapsedMs =
                elapsedMs >= 0
                        ? elapsedMs * HeartbeatSystem.MIN_CLOCK_RATE_PERCENT / 100
                        : elapsedMs * 100 / HeartbeatSystem.MIN_CLOCK_RATE_PERCENT;
        return session.executorClockMs() + leastElapsedMs - TOLERANCE_MS;
    }

    private static void log(SchedulerTick tick, ExecutorSessionRow session, long executorClockMs) {
        tick.log(
                "executor-reborn",
                "executor="
                        + session.executor()
                        + " by=clock known="
                        + session.startedAtMs()
                        + " expected_clock_ms="
                        + session.executorClockAt(tick.nowMs())
                        + " clock_ms="
                        + executorClockMs);
    }
}
