package org.hibiscususher.core.scheduler.host;

import java.util.List;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.job.TaskKey;
import org.hibiscususher.core.scheduler.executor.RunLifecycle;
import org.hibiscususher.core.scheduler.job.JobLifecycle;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunStage;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StopReason;

/** Empties the executor of a host: what can wait ends by itself, what lasts is moved away. */
final class Eviction {
    /** Time after which what still runs is stopped, in milliseconds. */
    private static final long PATIENCE_MS = 2_500;

    /** Age up to which an executor's last answer tells whether its tasks are at work. */
    private static final long FRESH_MS = 1_500;

    private static final int FULL = 100;

    private Eviction() {}

    /** Stops what may be stopped now; returns whether nothing runs there any more. */
    static boolean evict(SchedulerTick tick, String executor, long sinceMs) {
        SchedulerWorld world = tick.world();
        if (!areRunsKnown(world, executor)) {
            return false;
        }
        boolean late = tick.nowMs() - sinceMs > PATIENCE_MS;
        for (RunRow run : List.copyOf(world.runs().group(executor))) {
            StepSpec spec = JobLifecycle.findSpec(world, run.task().stepKey()).orElse(null);
            if (run.stage() != RunStage.RUNNING || spec == null) {
                continue;
            }
            boolean allowed = spec.service() ? mayStop(tick, run, spec) : late;
            if (allowed) {
                RunLifecycle.requestStop(tick, run, StopReason.EVICTED);
            }
        }
        return world.runs().group(executor).isEmpty();
    }

    /** Returns whether it is known what an executor runs. */
    static boolean areRunsKnown(SchedulerWorld world, String executor) {
        return !world.executors().contains(executor)
                || world.executorSessions()
                        .find(executor)
                        .filter(c -> c.lastAnswerMs() != 0)
                        .isPresent();
    }

    /** Returns whether a lasting task may be away now as well as those that are away already. */
    private static boolean mayStop(SchedulerTick tick, RunRow run, StepSpec spec) {
        if (spec.maxUnavailable() <= 0) {
            return true;
        }
        int away = 0;
        StepKey step = run.task().stepKey();
        for (int i = 0; i < spec.count(); i++) {
            if (i != run.task().index() && !isAvailable(tick, step.task(i))) {
                away++;
            }
        }
        return away < spec.maxUnavailable();
    }

    /** Returns whether a task is at work, as its executor has told just now. */
    private static boolean isAvailable(SchedulerTick tick, TaskKey task) {
        RunRow run = tick.world().runs().find(task).orElse(null);
        if (run == null || run.stage() != RunStage.RUNNING || run.speedPercent() < FULL) {
            return false;
        }
        return tick.world()
                .executorSessions()
                .find(run.executor())
                .filter(
                        c ->
                                c.consecutiveFailures() == 0
                                        && tick.nowMs() - c.lastAnswerMs() < FRESH_MS)
                .isPresent();
    }
}
