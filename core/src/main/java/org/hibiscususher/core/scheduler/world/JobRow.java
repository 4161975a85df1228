package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.scheduler.message.StoredRecord;

/**
 * A job.
 *
 * @param record the job as it was received, which the store keeps
 * @param arrivedMs when it arrived, in milliseconds of the steady clock
 * @param state state that this owner has determined; callers see a final one only once it is stored
 * @param stored whether the store holds the job
 * @param storedState state that the store holds
 * @param version version of the job's progress, raised by each change that must be stored
 * @param storedVersion version that the store holds
 * @param dirtySinceMs since when a change has waited to be stored, in milliseconds of the steady
 *     clock; counted anew after each commit
 * @param remainingSteps number of steps that are not done, over all occurrences
 * @param inherited whether an earlier owner accepted it, so that runs unknown to this owner may be
 *     in progress
 * @param endedMs when it reached a final state, in milliseconds of the steady clock; 0 if it has
 *     not
 */
public record JobRow(
        StoredRecord.Job record,
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
    /** Rejects null components. */
    public JobRow {
        requireNonNull(record);
        requireNonNull(state);
        requireNonNull(storedState);
    }

    /** Returns the row of a job that has just arrived and is not stored yet. */
    public static JobRow received(StoredRecord.Job record, long nowMs) {
        return queued(record, nowMs, nowMs, false, false);
    }

    /**
     * Returns the row of a job that an earlier owner accepted.
     *
     * @param arrivedMs when it arrived, in milliseconds of the steady clock
     * @param nowMs current time in milliseconds of the steady clock
     */
    public static JobRow inherited(StoredRecord.Job record, long arrivedMs, long nowMs) {
        return queued(record, arrivedMs, nowMs, true, true);
    }

    private static JobRow queued(
            StoredRecord.Job record,
            long arrivedMs,
            long nowMs,
            boolean stored,
            boolean inherited) {
        return new JobRow(
                record,
                arrivedMs,
                JobState.QUEUED,
                stored,
                JobState.QUEUED,
                0,
                0,
                nowMs,
                record.spec().steps().size() * record.spec().occurrences(),
                inherited,
                0);
    }

    /** Returns the job's id. */
    public String id() {
        return record.id();
    }

    /** Returns the policy of its queue when it was accepted. */
    public JobPolicy policy() {
        return record.policy();
    }

    /** Returns the name of its team; empty if the caller sent no known API key. */
    public String team() {
        return record.team();
    }

    /** Returns what the caller submitted. */
    public JobSpec spec() {
        return record.spec();
    }

    /**
     * Returns this job in another state.
     *
     * @param newState state to change to
     * @param newEndedMs when it reached a final state, in milliseconds of the steady clock; 0 if
     *     the state is not final
     */
    public JobRow withState(JobState newState, long newEndedMs) {
        return new JobRow(
                record,
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

    /** Returns this job with a change that must be stored. */
    public JobRow withChange(long nowMs) {
        return new JobRow(
                record,
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

    /** Returns this job once the store holds it. */
    public JobRow asStored() {
        return new JobRow(
                record,
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

    /** Returns this job once the store holds a version of its progress with the given state. */
    public JobRow withStoredVersion(long newVersion, JobState newState, long nowMs) {
        return new JobRow(
                record,
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

    /** Returns this job with one step fewer to do. */
    public JobRow withStepDone() {
        return new JobRow(
                record,
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

    /** Returns whether a change must still be stored. */
    public boolean isDirty() {
        return version > storedVersion;
    }

    /** Returns what the store holds of the job. */
    public StoreState storeState() {
        return StoreState.of(this);
    }

    /** Returns whether runs of the job may be started now. */
    public boolean acceptsRuns() {
        return stored && !state.isFinal();
    }

    /**
     * Returns the state that callers may see. A final state is shown only once it is stored,
     * because the next owner would continue the job otherwise.
     */
    public JobState visibleState() {
        return state.isFinal() && storedState != state ? JobState.RUNNING : state;
    }

    /** Returns the time by which the job should be done, in milliseconds of the steady clock. */
    public long deadlineMs() {
        return arrivedMs + policy().objectiveFor(spec().criticalPathMs());
    }
}
