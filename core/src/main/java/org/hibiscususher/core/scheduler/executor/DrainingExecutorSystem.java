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

/** Moves runs away from executors that leave before the runs can end. */
public final class DrainingExecutorSystem {
    private static final int FULL = 100;

    private DrainingExecutorSystem() {}

    /** Runs over the executors that drain. */
    public static void run(SchedulerTick tick) {
        if (!Authority.mayStartRuns(tick)) {
            return;
        }
        for (ExecutorRow row : tick.world().executors().rows()) {
            if (row.drainingSinceMs() != 0) {
                empty(tick, row);
            }
        }
    }

    private static void empty(SchedulerTick tick, ExecutorRow row) {
        SchedulerWorld world = tick.world();
        long leftMs = row.drainingSinceMs() + row.report().remainingMs() - tick.nowMs();
        for (RunRow run : List.copyOf(world.runs().group(row.id()))) {
            StepSpec spec = JobLifecycle.findSpec(world, run.task().stepKey()).orElse(null);
            if (spec != null
                    && run.stage() == RunStage.RUNNING
                    && (spec.service() || leftMs < toGoMs(run, spec))) {
                RunLifecycle.requestStop(tick, run, StopReason.EVICTED);
            }
        }
    }

    /** Returns how long a run still takes, by its estimate and its progress. */
    private static long toGoMs(RunRow run, StepSpec spec) {
        return spec.estimateMs() * (FULL - Math.min(FULL, run.speedPercent())) / FULL;
    }
}
