package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.job.JobRequest;

/**
 * A caller's request that has not been answered yet.
 *
 * @param callId id that the response names
 * @param request request with the times counted that it was forwarded
 * @param job id of the job whose record must be stored before the response is sent; empty while the
 *     request waits for an owner
 * @param stage what the request waits for
 * @param waitingSinceMs since when it has waited for that, in milliseconds of the steady clock
 * @param receivedMs when it arrived, in milliseconds of the steady clock
 * @param uncertain whether it may have taken effect already, so that it must not be answered that
 *     it had none
 */
public record PendingRequestRow(
        long callId,
        JobRequest request,
        String job,
        PendingRequestStage stage,
        long waitingSinceMs,
        long receivedMs,
        boolean uncertain) {
    /** Rejects null components. */
    public PendingRequestRow {
        requireNonNull(request);
        requireNonNull(job);
        requireNonNull(stage);
    }

    /** Returns the row of a request that has just arrived. */
    public static PendingRequestRow received(long callId, JobRequest request, long nowMs) {
        return new PendingRequestRow(
                callId, request, "", PendingRequestStage.AWAITING_OWNER, nowMs, nowMs, false);
    }

    /** Returns this row after the request was forwarded to another entry. */
    public PendingRequestRow asForwarded(long nowMs) {
        return new PendingRequestRow(
                callId,
                request.forwarded(),
                "",
                PendingRequestStage.FORWARDED,
                nowMs,
                receivedMs,
                uncertain);
    }

    /** Returns this row waiting until the store holds a job. */
    public PendingRequestRow awaitingStore(String newJob, long nowMs) {
        return new PendingRequestRow(
                callId,
                request,
                newJob,
                PendingRequestStage.AWAITING_STORE,
                nowMs,
                receivedMs,
                uncertain);
    }

    /**
     * Returns this row waiting for an owner again.
     *
     * @param newUncertain whether the attempt that has ended may have taken effect
     */
    public PendingRequestRow awaitingOwner(boolean newUncertain, long nowMs) {
        return new PendingRequestRow(
                callId,
                request,
                "",
                PendingRequestStage.AWAITING_OWNER,
                nowMs,
                receivedMs,
                uncertain || newUncertain);
    }
}
