package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import java.math.BigInteger;
import org.hibiscususher.core.job.StepKey;

/**
 * A step whose turn has come.
 *
 * @param key key
 * @param doneTasks a bit for each task that is done
 * @param remaining tasks that are not done
 * @param gangFailures how often it failed as a gang
 */
public record StepRow(StepKey key, BigInteger doneTasks, int remaining, int gangFailures) {
    /** Checks the parts. */
    public StepRow {
        requireNonNull(key);
        requireNonNull(doneTasks);
    }

    /** Returns this step with one more task done. */
    public StepRow withTaskDone(int index) {
        return new StepRow(key, doneTasks.setBit(index), remaining - 1, gangFailures);
    }

    /** Returns this step with all tasks done. */
    public StepRow withAllDone(int count) {
        return new StepRow(
                key, BigInteger.ONE.shiftLeft(count).subtract(BigInteger.ONE), 0, gangFailures);
    }

    /** Returns this step with one more failure as a gang. */
    public StepRow withGangFailure() {
        return new StepRow(key, doneTasks, remaining, gangFailures + 1);
    }
}
