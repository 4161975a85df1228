package org.hibiscususher.core.job;

import static java.util.Objects.requireNonNull;

/**
 * An answer to a caller.
 *
 * @param kind kind
 * @param state the job's state, for {@link JobResponseKind#STATE}
 * @param pending number of pending jobs, for {@link JobResponseKind#PENDING}
 * @param retryAfterMs when to come back, in milliseconds; 0 if not told
 * @param reason why, in a few words; empty if nothing is wrong
 */
public record JobResponse(
        JobResponseKind kind, JobState state, long pending, long retryAfterMs, String reason) {
    /** Checks the parts. */
    public JobResponse {
        requireNonNull(kind);
        requireNonNull(state);
        requireNonNull(reason);
    }

    /** Returns an answer that needs no more words. */
    public static JobResponse of(JobResponseKind kind) {
        return new JobResponse(kind, JobState.QUEUED, 0, 0, "");
    }

    /** Returns an answer with a job's state. */
    public static JobResponse ofState(JobState state) {
        return new JobResponse(JobResponseKind.STATE, state, 0, 0, "");
    }

    /** Returns an answer with a number of pending jobs. */
    public static JobResponse ofPending(long pending) {
        return new JobResponse(JobResponseKind.PENDING, JobState.QUEUED, pending, 0, "");
    }

    /** Returns a refusal. */
    public static JobResponse refusal(JobResponseKind kind, long retryAfterMs, String reason) {
        return new JobResponse(kind, JobState.QUEUED, 0, retryAfterMs, reason);
    }
}
