package org.hibiscususher.core.job;

import static java.util.Objects.requireNonNull;

/**
 * A run that an executor reports as being in progress.
 *
 * @param task task that the run executes
 * @param run number of the run
 * @param checkpoint last saved state; empty for none
 * @param progressPercent part of the work done; below 100 for a service task that does not serve
 *     yet
 * @param load tail latency in milliseconds for a task that serves requests, else processor use in
 *     thousandths of a core; -1 if not reported
 */
public record ReportedRun(
        TaskKey task, int run, String checkpoint, int progressPercent, long load) {
    /** Rejects null components. */
    public ReportedRun {
        requireNonNull(task);
        requireNonNull(checkpoint);
    }
}
