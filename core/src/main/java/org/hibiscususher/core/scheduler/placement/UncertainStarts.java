package org.hibiscususher.core.scheduler.placement;

import org.hibiscususher.core.job.TaskKey;
import org.hibiscususher.core.scheduler.world.ExecutorSessionRow;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.UncertainStartRow;

/**
 * Keeps a task on the executor that may still carry out an earlier start order of it.
 *
 * <p>An executor rejects that order once it was told to stop the run, but no longer does so after a
 * restart. A new run on another executor could then be joined by the earlier one. On the same
 * executor it can't: an executor has one run of a task at a time.
 */
final class UncertainStarts {
    private UncertainStarts() {}

    /**
     * Returns whether a task may start on an executor without regard to unanswered start orders
     * elsewhere. An executor that is silent or gone holds no task back.
     */
    static boolean mayStartOn(SchedulerWorld world, TaskKey task, String executor) {
        for (UncertainStartRow start : world.uncertainStarts().rows()) {
            if (start.key().task().equals(task)
                    && !start.executor().equals(executor)
                    && isAnswering(world, start.executor())) {
                return false;
            }
        }
        return true;
    }

    private static boolean isAnswering(SchedulerWorld world, String executor) {
        return world.executorSessions()
                .find(executor)
                .map(ExecutorSessionRow::consecutiveFailures)
                .filter(failures -> failures == 0)
                .isPresent();
    }
}
