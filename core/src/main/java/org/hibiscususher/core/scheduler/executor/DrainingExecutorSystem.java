package org.hibiscususher.core.scheduler.executor;

import java.util.List;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.job.JobLifecycle;
import org.hibiscususher.core.scheduler.term.Authority;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunStage;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StopReason;

/**
 * Evicts runs from draining executors that leave before the runs can finish.
 *
 * <p>A run that is stopped in time restarts elsewhere from its last checkpoint; one that is still
 * under way when its executor leaves is noticed only once the executor is silent. Service tasks
 * never finish by themselves and are evicted at once.
 */
public final class DrainingExecutorSystem {
    private static final int FULL_PERCENT = 100;

    private DrainingExecutorSystem() {}

    /** Checks the runs of each draining executor. */
    public static void run(SchedulerTick tick) {
        if (!Authority.mayStartRuns(tick)) {
            return;
        }
        for (ExecutorRow row : tick.world().executors().rows()) {
            if (row.drainingSinceMs() != 0) {
                evictRuns(tick, row);
            }
        }
    }

    private static void evictRuns(SchedulerTick tick, ExecutorRow row) {
        SchedulerWorld world = tick.world();
        long untilLeaveMs = row.drainingSinceMs() + row.report().remainingMs() - tick.nowMs();
        for (RunRow run : List.copyOf(world.runs().group(row.id()))) {
            StepSpec spec = JobLifecycle.findSpec(world, run.task().stepKey()).orElse(null);
            if (spec != null
                    && run.stage() == RunStage.RUNNING
                    && (spec.service() || untilLeaveMs < remainingMs(run, spec))) {
                RunLifecycle.requestStop(tick, run, StopReason.EVICTED);
            }
        }
    }

    /** Returns the estimated time to the end of a run in milliseconds, by its progress. */
    private static long remainingMs(RunRow run, StepSpec spec) {
        return spec.estimateMs()
                * (FULL_PERCENT - Math.min(FULL_PERCENT, run.progressPercent()))
                / FULL_PERCENT;
    }
}
