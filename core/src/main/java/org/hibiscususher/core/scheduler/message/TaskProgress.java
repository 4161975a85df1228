package org.hibiscususher.core.scheduler.message;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * What must be stored of a task that is not done.
 *
 * @param occurrence number of the occurrence, from 0
 * @param step number of the step, from 0
 * @param index index of the task in its step, from 0
 * @param failedRuns numbers of its runs that count as failed attempts
 * @param checkpoint last saved state; empty for none
 */
public record TaskProgress(
        int occurrence, int step, int index, List<Integer> failedRuns, String checkpoint) {
    /** Rejects null components and copies the list. */
    public TaskProgress {
        failedRuns = List.copyOf(failedRuns);
        requireNonNull(checkpoint);
    }
}
