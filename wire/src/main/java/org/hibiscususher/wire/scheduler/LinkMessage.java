package org.hibiscususher.wire.scheduler;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.hibiscususher.core.job.JobAnswer;
import org.hibiscususher.core.job.JobCall;

/**
 * A request that one entry passes on to another, or the answer to it.
 *
 * @param callId id of the request on its connection
 * @param call the request; empty for an answer
 * @param answer the answer; empty for a request
 */
public record LinkMessage(long callId, Optional<JobCall> call, Optional<JobAnswer> answer) {
    /** Checks the parts. */
    public LinkMessage {
        requireNonNull(call);
        requireNonNull(answer);
    }

    /** Returns a request. */
    public static LinkMessage of(long callId, JobCall call) {
        return new LinkMessage(callId, Optional.of(call), Optional.empty());
    }

    /** Returns an answer. */
    public static LinkMessage of(long callId, JobAnswer answer) {
        return new LinkMessage(callId, Optional.empty(), Optional.of(answer));
    }
}
