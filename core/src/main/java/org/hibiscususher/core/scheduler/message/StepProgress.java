package org.hibiscususher.core.scheduler.message;

import static java.util.Objects.requireNonNull;

import java.math.BigInteger;

/**
 * The done tasks of a step, in a job's progress record.
 *
 * @param occurrence number of the occurrence, from 0
 * @param step number of the step, from 0
 * @param doneTasks a bit for each done task, at the task's index
 */
public record StepProgress(int occurrence, int step, BigInteger doneTasks) {
    /** Rejects null components. */
    public StepProgress {
        requireNonNull(doneTasks);
    }
}
