package org.hibiscususher.core.job;

import static java.util.Objects.requireNonNull;

import java.util.Optional;

/**
 * The response to a request about jobs.
 *
 * @param kind kind of response
 * @param state state of the job, for {@link JobResponseKind#STATE}; else without meaning
 * @param pending number of pending jobs, for {@link JobResponseKind#PENDING}; else 0
 * @param retryAfterMs when the caller may retry, in milliseconds from now; 0 for no hint
 * @param reason why the request was refused, in a few words; empty if it was not
 * @param ownerLoad load of the owner when it decided; empty if nothing is known about it
 */
public record JobResponse(
        JobResponseKind kind,
        JobState state,
        long pending,
        long retryAfterMs,
        String reason,
        Optional<OwnerLoad> ownerLoad) {
    /** Rejects null components. */
    public JobResponse {
        requireNonNull(kind);
        requireNonNull(state);
        requireNonNull(reason);
        requireNonNull(ownerLoad);
    }

    /** Returns a response that consists of its kind. */
    public static JobResponse of(JobResponseKind kind) {
        return new JobResponse(kind, JobState.QUEUED, 0, 0, "", Optional.empty());
    }

    /** Returns a response with the state of a job. */
    public static JobResponse ofState(JobState state) {
        return new JobResponse(JobResponseKind.STATE, state, 0, 0, "", Optional.empty());
    }

    /** Returns a response with a number of pending jobs. */
    public static JobResponse ofPending(long pending) {
        return new JobResponse(
                JobResponseKind.PENDING, JobState.QUEUED, pending, 0, "", Optional.empty());
    }

    /**
     * Returns a refusal.
     *
     * @param kind kind of response
     * @param retryAfterMs when the caller may retry, in milliseconds from now; 0 for no hint
     * @param reason why the request is refused, in a few words
     */
    public static JobResponse refusal(JobResponseKind kind, long retryAfterMs, String reason) {
        return new JobResponse(kind, JobState.QUEUED, 0, retryAfterMs, reason, Optional.empty());
    }

    /** Returns this response with the load of the owner when it decided. */
    public JobResponse withOwnerLoad(Optional<OwnerLoad> load) {
        return new JobResponse(kind, state, pending, retryAfterMs, reason, load);
    }
}
