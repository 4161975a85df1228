package org.hibiscususher.core.scheduler.message;

import static java.util.Objects.requireNonNull;

import java.math.BigInteger;

/**
 * The done tasks of a step.
 *
 * @param occurrence number of the occurrence
 * @param step number of the step
 * @param doneTasks a bit for each task that is done
 */
public record StepProgress(int occurrence, int step, BigInteger doneTasks) {
    /** Checks the parts. */
    public StepProgress {
        requireNonNull(doneTasks);
    }
}
