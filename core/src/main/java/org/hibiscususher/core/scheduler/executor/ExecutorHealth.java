package org.hibiscususher.core.scheduler.executor;

import org.hibiscususher.core.scheduler.world.ExecutorHealthRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;

/**
 * Records how runs end on each executor, and quarantines executors on which runs keep failing.
 *
 * <p>A faulty executor fails its runs early and so is free again soon: without a quarantine it
 * would receive, and fail, more and more of the waiting tasks.
 */
final class ExecutorHealth {
    /** Failed runs in a row from which an executor is quarantined. */
    private static final int MAX_FAILURES = 2;

    /** Duration of the first quarantine in milliseconds; each further failure adds as much. */
    private static final long QUARANTINE_MS = 1_500;

    private static final long MAX_QUARANTINE_MS = 6_000;

    private ExecutorHealth() {}

    /** Records a run that completed its task. */
    static void recordSuccess(SchedulerTick tick, String executor) {
        ExecutorHealthRow row = findOrInitial(tick, executor);
        tick.world()
                .executorHealth()
                .put(
                        executor,
                        new ExecutorHealthRow(executor, 0, row.completedRuns() + 1, tick.nowMs()));
    }

    /** Records a failed run, and quarantines the executor after several in a row. */
    static void recordFailure(SchedulerTick tick, String executor) {
        ExecutorHealthRow row = findOrInitial(tick, executor);
        int failures = row.consecutiveFailures() + 1;
        tick.world()
                .executorHealth()
                .put(
                        executor,
                        new ExecutorHealthRow(
                                executor, failures, row.completedRuns(), tick.nowMs()));
        if (failures >= MAX_FAILURES) {
            quarantine(
                    tick,
                    executor,
                    Math.min(MAX_QUARANTINE_MS, QUARANTINE_MS * (failures - 1)),
                    "failures");
        }
    }

    /** Records the end of a run, but not whether it counts for or against the executor. */
    static void recordEnd(SchedulerTick tick, String executor) {
        ExecutorHealthRow row = findOrInitial(tick, executor);
        tick.world()
                .executorHealth()
                .put(
                        executor,
                        new ExecutorHealthRow(
                                executor,
                                row.consecutiveFailures(),
                                row.completedRuns(),
                                tick.nowMs()));
    }

    /**
     * Gives an executor no new runs for some time.
     *
     * @param forMs duration in milliseconds; a longer quarantine in effect stays
     * @param reason cause for the log and the counter
     */
    static void quarantine(SchedulerTick tick, String executor, long forMs, String reason) {
        long untilMs = tick.nowMs() + forMs;
        tick.world().executorSessions().update(executor, s -> s.quarantinedUntil(untilMs));
        tick.log(
                "executor-aside",
                "executor=" + executor + " for_ms=" + forMs + " reason=" + reason);
        tick.count("executor-aside." + reason);
    }

    private static ExecutorHealthRow findOrInitial(SchedulerTick tick, String executor) {
        return tick.world()
                .executorHealth()
                .find(executor)
                .orElse(ExecutorHealthRow.initial(executor));
    }
}
