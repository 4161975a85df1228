package org.hibiscususher.core.job;

import static java.util.Objects.requireNonNull;

/**
 * Identifies a task.
 *
 * @param stepKey key of its step
 * @param index index of the task in its step, from 0
 */
public record TaskKey(StepKey stepKey, int index) {
    /** Rejects null components. */
    public TaskKey {
        requireNonNull(stepKey);
    }

    /** Returns the id of the task's job. */
    public String jobId() {
        return stepKey.jobId();
    }

    /**
     * Returns the key in the form {@code job.occurrence.step.index}, which logs, executors and
     * stored records use.
     */
    public String text() {
        return stepKey.jobId() + '.' + stepKey.occurrence() + '.' + stepKey.step() + '.' + index;
    }
}
