package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

/**
 * A finished run that is applied to the tables but not acknowledged yet.
 *
 * <p>An executor stops listing a run once it is acknowledged. The owner therefore acknowledges it
 * only when the store holds the outcome; otherwise a new owner would find the outcome neither there
 * nor at the executor.
 *
 * @param key the run's position at its executor
 * @param job id of the run's job
 * @param jobVersion version of the job's progress that includes the outcome
 */
public record FinishedRunRow(FinishedRunKey key, String job, long jobVersion) {
    /** Rejects null components. */
    public FinishedRunRow {
        requireNonNull(key);
        requireNonNull(job);
    }
}
