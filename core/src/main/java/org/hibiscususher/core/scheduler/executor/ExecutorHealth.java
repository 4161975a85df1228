package org.hibiscususher.core.scheduler.executor;

import org.hibiscususher.core.scheduler.world.ExecutorHealthRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;

/** Keeps count of how runs end on each executor, and sets aside those that fail what they start. */
final class ExecutorHealth {
    /** Failed runs in a row after which an executor is set aside. */
    private static final int MAX_FAILURES = 2;

    private static final long ASIDE_MS = 1_500;
    private static final long MAX_ASIDE_MS = 6_000;

    private ExecutorHealth() {}

    static void recordSuccess(SchedulerTick tick, String executor) {
        ExecutorHealthRow row = findOrInitial(tick, executor);
        tick.world()
                .executorHealth()
                .put(
                        executor,
                        new ExecutorHealthRow(executor, 0, row.completedRuns() + 1, tick.nowMs()));
    }

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
                    tick, executor, Math.min(MAX_ASIDE_MS, ASIDE_MS * (failures - 1)), "failures");
        }
    }

    /** Takes in an end that tells neither for nor against the executor. */
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

    /** Gives an executor no new runs for some time. */
    static void quarantine(SchedulerTick tick, String executor, long forMs, String reason) {
        long untilMs = tick.nowMs() + forMs;
        tick.world().executorSessions().update(executor, c -> c.quarantinedUntil(untilMs));
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
