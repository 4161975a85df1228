package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.job.JobSpec;

/**
 * A refusal that the owner has extended to further submissions of a team to a queue.
 *
 * @param key the team and the queue
 * @param minWorkCoreMs least work of the refused submissions, in core-milliseconds
 * @param untilMs when the refusal ends, in milliseconds of the steady clock
 * @param retryAtMs when the owner expects to accept such submissions again, in milliseconds of the
 *     steady clock
 */
public record TeamRejectionRow(TeamQueue key, long minWorkCoreMs, long untilMs, long retryAtMs) {
    /** Rejects null components. */
    public TeamRejectionRow {
        requireNonNull(key);
    }

    /** Returns whether a submission is refused. */
    public boolean covers(JobSpec spec, long nowMs) {
        return nowMs < untilMs && spec.isLimitedByBacklog() && spec.workCoreMs() >= minWorkCoreMs;
    }
}
