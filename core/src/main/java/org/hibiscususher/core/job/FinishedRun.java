package org.hibiscususher.core.job;

import static java.util.Objects.requireNonNull;

/**
 * An end of a run that an executor lists until it is acknowledged.
 *
 * @param sequence position in the executor's list of ends, from 1
 * @param task the task
 * @param run number of the run
 * @param outcome how the run ended
 * @param checkpoint last saved state; empty for none
 */
public record FinishedRun(
        long sequence, TaskKey task, int run, RunOutcome outcome, String checkpoint) {
    /** Checks the parts. */
    public FinishedRun {
        requireNonNull(task);
        requireNonNull(outcome);
        requireNonNull(checkpoint);
    }
}
