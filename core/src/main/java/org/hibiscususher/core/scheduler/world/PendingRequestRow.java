package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.job.JobRequest;

/**
 * A caller's request that has not been answered yet.
 *
 * @param callId id that the response names
 * @param request request as it arrived
 * @param job id of the job whose record must be stored before the response is sent; empty while the
 *     request waits for an owner
 * @param stage what the request waits for
 * @param waitingSinceMs since when it has waited for that, in milliseconds of the steady clock
 */
public record PendingRequestRow(
        long callId,
        JobRequest request,
        String job,
        PendingRequestStage stage,
        long waitingSinceMs) {
    /** Rejects null components. */
    public PendingRequestRow {
        requireNonNull(request);
        requireNonNull(job);
        requireNonNull(stage);
    }
}
