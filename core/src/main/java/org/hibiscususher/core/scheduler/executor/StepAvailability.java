package org.hibiscususher.core.scheduler.executor;

import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.job.TaskKey;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunStage;
import org.hibiscususher.core.scheduler.world.SchedulerTick;

/** Decides how many tasks of a step may be unavailable because the scheduler stops them. */
public final class StepAvailability {
    /** Age up to which a heartbeat response shows that tasks are available, in milliseconds. */
    private static final long MAX_RESPONSE_AGE_MS = 1_500;

    private static final int FULL_PERCENT = 100;

    private StepAvailability() {}

    /** Returns whether the limit of a step lets one more of its tasks become unavailable. */
    public static boolean mayBecomeUnavailable(SchedulerTick tick, RunRow run, StepSpec spec) {
        if (spec.maxUnavailable() <= 0) {
            return true;
        }
        int unavailable = 0;
        StepKey step = run.task().stepKey();
        for (int i = 0; i < spec.count(); i++) {
            if (i != run.task().index() && !isAvailable(tick, step.task(i))) {
                unavailable++;
            }
        }
        return unavailable < spec.maxUnavailable();
    }

    /** Returns whether a task is fully available, by a recent response of its executor. */
    private static boolean isAvailable(SchedulerTick tick, TaskKey task) {
        RunRow run = tick.world().runs().find(task).orElse(null);
        if (run == null
                || run.stage() != RunStage.RUNNING
                || run.progressPercent() < FULL_PERCENT) {
            return false;
        }
        return tick.world()
                .executorSessions()
                .find(run.executor())
                .filter(
                        s ->
                                s.consecutiveFailures() == 0
                                        && tick.nowMs() - s.lastAnswerMs() < MAX_RESPONSE_AGE_MS)
                .isPresent();
    }
}
