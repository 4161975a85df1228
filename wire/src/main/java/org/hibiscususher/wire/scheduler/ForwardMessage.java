package org.hibiscususher.wire.scheduler;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.OptionalLong;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobResponse;

/**
 * A message on the connection over which an entry forwards job requests to the scheduler's owner.
 * The same connection carries the messages by which the ownership is handed over.
 *
 * <p>Exactly one of the optional components is present.
 *
 * @param callId identifies the request on its connection; a response repeats the id of its request
 * @param request a forwarded job request
 * @param response the response to a job request, relinquish request or handover offer
 * @param relinquishTo generation of the newer owner, which asks the receiver to relinquish an older
 *     term and issue no more orders
 * @param handoverFrom generation of the current owner, which offers the ownership to the receiver
 */
public record ForwardMessage(
        long callId,
        Optional<JobRequest> request,
        Optional<JobResponse> response,
        OptionalLong relinquishTo,
        OptionalLong handoverFrom) {
    /** Rejects null components. */
    public ForwardMessage {
        requireNonNull(request);
        requireNonNull(response);
        requireNonNull(relinquishTo);
        requireNonNull(handoverFrom);
    }

    /** Returns a message that forwards a job request. */
    public static ForwardMessage of(long callId, JobRequest request) {
        return new ForwardMessage(
                callId,
                Optional.of(request),
                Optional.empty(),
                OptionalLong.empty(),
                OptionalLong.empty());
    }

    /** Returns a request to relinquish, from the owner of the term {@code generation}. */
    public static ForwardMessage relinquishRequest(long callId, long generation) {
        return new ForwardMessage(
                callId,
                Optional.empty(),
                Optional.empty(),
                OptionalLong.of(generation),
                OptionalLong.empty());
    }

    /** Returns an offer of the ownership, from the owner of the term {@code generation}. */
    public static ForwardMessage handoverOffer(long callId, long generation) {
        return new ForwardMessage(
                callId,
                Optional.empty(),
                Optional.empty(),
                OptionalLong.empty(),
                OptionalLong.of(generation));
    }

    /** Returns the response to the request {@code callId}. */
    public static ForwardMessage of(long callId, JobResponse response) {
        return new ForwardMessage(
                callId,
                Optional.empty(),
                Optional.of(response),
                OptionalLong.empty(),
                OptionalLong.empty());
    }
}
