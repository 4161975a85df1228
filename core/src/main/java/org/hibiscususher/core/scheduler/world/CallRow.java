package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.job.JobCall;

/**
 * A caller's request that waits.
 *
 * @param callId id
 * @param call request
 * @param job the job that has to be stored; empty for none
 * @param stage what it waits for
 * @param sinceMs since when
 */
public record CallRow(long callId, JobCall call, String job, CallStage stage, long sinceMs) {
    /** Checks the parts. */
    public CallRow {
        requireNonNull(call);
        requireNonNull(job);
        requireNonNull(stage);
    }
}
