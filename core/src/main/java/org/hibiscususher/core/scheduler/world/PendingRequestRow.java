package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.job.JobRequest;

/**
 * A caller's request that waits.
 *
 * @param callId id
 * @param request request
 * @param job the job that has to be stored; empty for none
 * @param stage what it waits for
 * @param waitingSinceMs since when
 */
public record PendingRequestRow(
        long callId,
        JobRequest request,
        String job,
        PendingRequestStage stage,
        long waitingSinceMs) {
    /** Checks the parts. */
    public PendingRequestRow {
        requireNonNull(request);
        requireNonNull(job);
        requireNonNull(stage);
    }
}
