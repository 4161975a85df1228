package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.JobState;

/**
 * A job.
 *
 * @param id id
 * @param policy terms
 * @param team its team; empty if it came without a key
 * @param spec what was handed in
 * @param acceptedWallMs when it came, in milliseconds since the epoch
 * @param arrivedMs when it came, on the steady clock
 * @param state state
 * @param stored whether the store holds the job
 * @param storedState the state that the store holds
 * @param version grows with each change that has to be stored
 * @param storedVersion the version that the store holds
 * @param dirtySinceMs since when a change waits to be stored
 * @param remainingSteps steps of all occurrences that are not done
 * @param inherited whether it was accepted by an earlier owner
 * @param endedMs when it came to its final state; 0 if it has not
 */
public record JobRow(
        String id,
        JobPolicy policy,
        String team,
        JobSpec spec,
        long acceptedWallMs,
        long arrivedMs,
        JobState state,
        boolean stored,
        JobState storedState,
        long version,
        long storedVersion,
        long dirtySinceMs,
        int remainingSteps,
        boolean inherited,
        long endedMs) {
    /** Checks the parts. */
    public JobRow {
        requireNonNull(id);
        requireNonNull(policy);
        requireNonNull(team);
        requireNonNull(spec);
        requireNonNull(state);
        requireNonNull(storedState);
    }

    /** Returns this job with another state. */
    public JobRow withState(JobState newState, long newEndedMs) {
        return new JobRow(
                id,
                policy,
                team,
                spec,
                acceptedWallMs,
                arrivedMs,
                newState,
                stored,
                storedState,
                version,
                storedVersion,
                dirtySinceMs,
                remainingSteps,
                inherited,
                newEndedMs);
    }

    /** Returns this job with a change that has to be stored. */
    public JobRow withChange(long nowMs) {
        return new JobRow(
                id,
                policy,
                team,
                spec,
                acceptedWallMs,
                arrivedMs,
                state,
                stored,
                storedState,
                version + 1,
                storedVersion,
                version == storedVersion ? nowMs : dirtySinceMs,
                remainingSteps,
                inherited,
                endedMs);
    }

    /** Returns this job held by the store. */
    public JobRow asStored() {
        return new JobRow(
                id,
                policy,
                team,
                spec,
                acceptedWallMs,
                arrivedMs,
                state,
                true,
                storedState,
                version,
                storedVersion,
                dirtySinceMs,
                remainingSteps,
                inherited,
                endedMs);
    }

    /** Returns this job with its progress held by the store. */
    public JobRow withStoredVersion(long newVersion, JobState newState, long nowMs) {
        return new JobRow(
                id,
                policy,
                team,
                spec,
                acceptedWallMs,
                arrivedMs,
                state,
                stored,
                newState,
                version,
                Math.max(storedVersion, newVersion),
                nowMs,
                remainingSteps,
                inherited,
                endedMs);
    }

    /** Returns this job with one step less to do. */
    public JobRow withStepDone() {
        return new JobRow(
                id,
                policy,
                team,
                spec,
                acceptedWallMs,
                arrivedMs,
                state,
                stored,
                storedState,
                version,
                storedVersion,
                dirtySinceMs,
                remainingSteps - 1,
                inherited,
                endedMs);
    }

    /** Returns whether a change waits to be stored. */
    public boolean isDirty() {
        return version > storedVersion;
    }

    /** Returns whether the job takes runs now. */
    public boolean acceptsRuns() {
        return stored && !state.isFinal();
    }

    /** Returns the time until which the job should be done, on the steady clock. */
    public long deadlineMs() {
        return arrivedMs + policy.objectiveFor(spec.criticalPathMs());
    }
}
