package org.hibiscususher.core.job;

import static java.util.Objects.requireNonNull;

/**
 * Names a step of one occurrence of a job.
 *
 * @param jobId the job
 * @param occurrence number of the occurrence, from 0
 * @param step number of the step, from 0
 */
public record StepKey(String jobId, int occurrence, int step) {
    /** Checks the parts. */
    public StepKey {
        requireNonNull(jobId);
    }

    /** Returns the key of a task of this step. */
    public TaskKey task(int index) {
        return new TaskKey(this, index);
    }

    /** Returns the key of another step of the same occurrence. */
    public StepKey sibling(int other) {
        return new StepKey(jobId, occurrence, other);
    }
}
