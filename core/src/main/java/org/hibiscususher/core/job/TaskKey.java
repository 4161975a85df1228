package org.hibiscususher.core.job;

import static java.util.Objects.requireNonNull;

/**
 * Names a task.
 *
 * @param stepKey the step that the task belongs to
 * @param index number of the task in its step, from 0
 */
public record TaskKey(StepKey stepKey, int index) {
    /** Checks the parts. */
    public TaskKey {
        requireNonNull(stepKey);
    }

    /** Returns the id of the task's job. */
    public String jobId() {
        return stepKey.jobId();
    }

    /** Returns the key in the form job.occurrence.step.index, as logs show it. */
    public String text() {
        return stepKey.jobId() + '.' + stepKey.occurrence() + '.' + stepKey.step() + '.' + index;
    }
}
