package org.hibiscususher.core.job;

import static java.util.Objects.requireNonNull;

/**
 * An answer to a caller.
 *
 * @param kind kind
 * @param state the job's state, for {@link AnswerKind#STATE}
 * @param pending number of pending jobs, for {@link AnswerKind#PENDING}
 * @param retryAfterMs when to come back, in milliseconds; 0 if not told
 * @param reason why, in a few words; empty if nothing is wrong
 */
public record JobAnswer(
        AnswerKind kind, JobState state, long pending, long retryAfterMs, String reason) {
    /** Checks the parts. */
    public JobAnswer {
        requireNonNull(kind);
        requireNonNull(state);
        requireNonNull(reason);
    }

    /** Returns an answer that needs no more words. */
    public static JobAnswer of(AnswerKind kind) {
        return new JobAnswer(kind, JobState.QUEUED, 0, 0, "");
    }

    /** Returns an answer with a job's state. */
    public static JobAnswer ofState(JobState state) {
        return new JobAnswer(AnswerKind.STATE, state, 0, 0, "");
    }

    /** Returns an answer with a number of pending jobs. */
    public static JobAnswer ofPending(long pending) {
        return new JobAnswer(AnswerKind.PENDING, JobState.QUEUED, pending, 0, "");
    }

    /** Returns a refusal. */
    public static JobAnswer refusal(AnswerKind kind, long retryAfterMs, String reason) {
        return new JobAnswer(kind, JobState.QUEUED, 0, retryAfterMs, reason);
    }
}
