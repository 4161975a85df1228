package org.hibiscususher.core.job;

import static java.util.Objects.requireNonNull;

/**
 * Identifies a step of an occurrence of a job.
 *
 * @param jobId job id
 * @param occurrence number of the occurrence, from 0
 * @param step number of the step, from 0
 */
public record StepKey(String jobId, int occurrence, int step) {
    /** Rejects null components. */
    public StepKey {
        requireNonNull(jobId);
    }

    /** Returns the key of the task of this step with the given index. */
    public TaskKey task(int index) {
        return new TaskKey(this, index);
    }

    /** Returns the key of another step of the same occurrence. */
    public StepKey sibling(int otherStep) {
        return new StepKey(jobId, occurrence, otherStep);
    }
}
