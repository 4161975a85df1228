package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.job.TaskKey;

/**
 * Names an order to start a run.
 *
 * @param task the task
 * @param run number of the run
 */
public record StartKey(TaskKey task, int run) {
    /** Checks the parts. */
    public StartKey {
        requireNonNull(task);
    }
}
