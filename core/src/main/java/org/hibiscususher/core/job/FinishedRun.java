package org.hibiscususher.core.job;

import static java.util.Objects.requireNonNull;

/**
 * A finished run, which an executor lists until it is acknowledged.
 *
 * @param sequence position in the executor's list of finished runs, from 1
 * @param task task that the run executed
 * @param run number of the run
 * @param outcome how the run finished
 * @param checkpoint last saved state; empty for none
 */
public record FinishedRun(
        long sequence, TaskKey task, int run, RunOutcome outcome, String checkpoint) {
    /** Rejects null components. */
    public FinishedRun {
        requireNonNull(task);
        requireNonNull(outcome);
        requireNonNull(checkpoint);
    }
}
