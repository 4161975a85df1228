package org.hibiscususher.core.scheduler.message;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * What must be remembered of a task that is not done.
 *
 * @param occurrence number of the occurrence
 * @param step number of the step
 * @param index number of the task
 * @param failedRuns numbers of its runs that failed
 * @param checkpoint last saved state; empty for none
 */
public record TaskProgress(
        int occurrence, int step, int index, List<Integer> failedRuns, String checkpoint) {
    /** Checks the parts. */
    public TaskProgress {
        failedRuns = List.copyOf(failedRuns);
        requireNonNull(checkpoint);
    }
}
