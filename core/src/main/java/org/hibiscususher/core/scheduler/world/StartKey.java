package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.job.TaskKey;

/**
 * Identifies an order to start a run.
 *
 * @param task task that the run executes
 * @param run number of the run
 */
public record StartKey(TaskKey task, int run) {
    /** Rejects null components. */
    public StartKey {
        requireNonNull(task);
    }
}
