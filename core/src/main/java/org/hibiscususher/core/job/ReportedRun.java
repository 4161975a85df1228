package org.hibiscususher.core.job;

import static java.util.Objects.requireNonNull;

/**
 * A run that an executor lists as running.
 *
 * @param task the task
 * @param run number of the run
 * @param checkpoint last saved state; empty for none
 * @param speedPercent part of its full speed at which the run works
 * @param load tail latency in milliseconds for a task that serves, else thousandths of a core in
 *     use; -1 if not told
 */
public record ReportedRun(TaskKey task, int run, String checkpoint, int speedPercent, long load) {
    /** Checks the parts. */
    public ReportedRun {
        requireNonNull(task);
        requireNonNull(checkpoint);
    }
}
