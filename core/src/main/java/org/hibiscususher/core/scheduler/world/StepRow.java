package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import java.math.BigInteger;
import org.hibiscususher.core.job.StepKey;

/**
 * An activated step: the steps that it depends on are done.
 *
 * @param key step key
 * @param doneTasks a bit for each done task, at the task's index
 * @param remaining number of tasks that are not done
 * @param gangFailures number of times the step failed as a gang
 */
public record StepRow(StepKey key, BigInteger doneTasks, int remaining, int gangFailures) {
    /** Rejects null components. */
    public StepRow {
        requireNonNull(key);
        requireNonNull(doneTasks);
    }

    /** Returns this step with the task at an index done. */
    public StepRow withTaskDone(int index) {
        return new StepRow(key, doneTasks.setBit(index), remaining - 1, gangFailures);
    }

    /** Returns this step with all its tasks done. */
    public StepRow withAllDone(int count) {
        return new StepRow(
                key, BigInteger.ONE.shiftLeft(count).subtract(BigInteger.ONE), 0, gangFailures);
    }

    /** Returns this step with another failure as a gang. */
    public StepRow withGangFailure() {
        return new StepRow(key, doneTasks, remaining, gangFailures + 1);
    }
}
