package org.hibiscususher.core.scheduler.message;

import static java.util.Objects.requireNonNull;

/**
 * What must be remembered of a task that is not done.
 *
 * @param occurrence number of the occurrence
 * @param step number of the step
 * @param index number of the task
 * @param failures how many of its runs failed
 * @param failedRun number of the last run that was counted as failed
 * @param checkpoint last saved state; empty for none
 */
public record TaskMark(
        int occurrence, int step, int index, int failures, int failedRun, String checkpoint) {
    /** Checks the parts. */
    public TaskMark {
        requireNonNull(checkpoint);
    }
}
