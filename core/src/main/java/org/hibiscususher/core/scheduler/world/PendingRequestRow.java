package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobRequestKind;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobTeam;
import org.hibiscususher.core.job.OwnerLoad;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Respond;

/**
 * A caller's request that has not been answered yet.
 *
 * @param callId id that the response names
 * @param request request with the times counted that it was forwarded
 * @param origin where it comes from
 * @param team team on whose behalf it was forwarded; empty before, and for a caller without a team
 * @param job id of the job whose record must be stored before the response is sent; empty while the
 *     request waits for an owner
 * @param stage what the request waits for
 * @param waitingSinceMs since when it has waited for that, in milliseconds of the steady clock
 * @param receivedMs when it arrived, in milliseconds of the steady clock
 * @param uncertain whether it may have taken effect already, so that it must not be answered that
 *     it had none
 * @param ownerLoad load of the owner when it decided on the request; empty before
 */
public record PendingRequestRow(
        long callId,
        JobRequest request,
        RequestOrigin origin,
        String team,
        String job,
        PendingRequestStage stage,
        long waitingSinceMs,
        long receivedMs,
        boolean uncertain,
        Optional<OwnerLoad> ownerLoad) {
    /** Rejects null components. */
    public PendingRequestRow {
        requireNonNull(request);
        requireNonNull(origin);
        requireNonNull(team);
        requireNonNull(job);
        requireNonNull(stage);
        requireNonNull(ownerLoad);
    }

    /**
     * Returns the row of a request that has arrived.
     *
     * @param arrivedMs when it arrived, in milliseconds of the steady clock
     * @param nowMs the time on the steady clock
     */
    public static PendingRequestRow received(
            long callId, JobRequest request, long arrivedMs, long nowMs) {
        return new PendingRequestRow(
                callId,
                request,
                RequestOrigin.of(request),
                JobTeam.ANONYMOUS,
                "",
                PendingRequestStage.AWAITING_OWNER,
                nowMs,
                Math.min(arrivedMs, nowMs),
                false,
                Optional.empty());
    }

    /** Returns whether the request submits a job. */
    public boolean isSubmission() {
        return request.kind() == JobRequestKind.SUBMIT;
    }

    /**
     * Returns this row after the request was forwarded to another entry.
     *
     * @param newTeam team on whose behalf it was forwarded
     */
    public PendingRequestRow asForwarded(String newTeam, long nowMs) {
        return new PendingRequestRow(
                callId,
                request.forwarded(),
                origin,
                newTeam,
                "",
                PendingRequestStage.FORWARDED,
                nowMs,
                receivedMs,
                uncertain,
                Optional.empty());
    }

    /** Returns this row waiting until the store holds a job. */
    public PendingRequestRow awaitingStore(String newJob, long nowMs) {
        return new PendingRequestRow(
                callId,
                request,
                origin,
                team,
                newJob,
                PendingRequestStage.AWAITING_STORE,
                nowMs,
                receivedMs,
                uncertain,
                ownerLoad);
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
                origin,
                team,
                "",
                PendingRequestStage.AWAITING_OWNER,
                nowMs,
                receivedMs,
                uncertain || newUncertain,
                Optional.empty());
    }

    /** Returns this row with the load of the owner that decides on the request. */
    public PendingRequestRow withOwnerLoad(Optional<OwnerLoad> load) {
        return new PendingRequestRow(
                callId,
                request,
                origin,
                team,
                job,
                stage,
                waitingSinceMs,
                receivedMs,
                uncertain,
                load);
    }

    /** Returns the output that answers the request; another entry learns the owner's load by it. */
    public Respond respond(JobResponse response) {
        boolean addsLoad = origin.learnsOwnerLoad() && response.ownerLoad().isEmpty();
        return new Respond(callId, addsLoad ? response.withOwnerLoad(ownerLoad) : response);
    }
}
