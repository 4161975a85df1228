package org.hibiscususher.wire.scheduler;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.OptionalLong;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobResponse;

/**
 * A request that one entry passes on to another, or the answer to it.
 *
 * @param callId id of the request on its connection
 * @param call the request; empty for an answer
 * @param answer the answer; empty for a request
 * @param yieldTo generation of a later owner that asks to give no more orders; empty for others
 * @param offerOf generation of an owner that offers its ownership; empty for others
 */
public record LinkMessage(
        long callId,
        Optional<JobRequest> call,
        Optional<JobResponse> answer,
        OptionalLong yieldTo,
        OptionalLong offerOf) {
    /** Checks the parts. */
    public LinkMessage {
        requireNonNull(call);
        requireNonNull(answer);
        requireNonNull(yieldTo);
        requireNonNull(offerOf);
    }

    /** Returns a request. */
    public static LinkMessage of(long callId, JobRequest call) {
        return new LinkMessage(
                callId,
                Optional.of(call),
                Optional.empty(),
                OptionalLong.empty(),
                OptionalLong.empty());
    }

    /** Returns a request of a later owner to give no more orders. */
    public static LinkMessage ofYield(long callId, long generation) {
        return new LinkMessage(
                callId,
                Optional.empty(),
                Optional.empty(),
                OptionalLong.of(generation),
                OptionalLong.empty());
    }

    /** Returns an owner's offer of its ownership. */
    public static LinkMessage ofOffer(long callId, long generation) {
        return new LinkMessage(
                callId,
                Optional.empty(),
                Optional.empty(),
                OptionalLong.empty(),
                OptionalLong.of(generation));
    }

    /** Returns an answer. */
    public static LinkMessage of(long callId, JobResponse answer) {
        return new LinkMessage(
                callId,
                Optional.empty(),
                Optional.of(answer),
                OptionalLong.empty(),
                OptionalLong.empty());
    }
}
