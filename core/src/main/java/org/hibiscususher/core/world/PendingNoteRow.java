package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.note.ReleaseNote;

/**
 * A submitted release note that is being committed and rolled out, and the operator's call that
 * waits for it.
 *
 * @param callId id of the operator's call
 * @param note the note
 * @param wallMs when it arrived, in milliseconds since 1970 of the wall clock; for the history only
 * @param sinceMs when it arrived, in milliseconds of the tick clock
 * @param state the present step
 * @param storeCallId id of the pending store call, 0 if none
 * @param plan the planned change of the head
 * @param revision the revision that the note became, 0 if none yet
 * @param writtenMs when it was known to be written, in milliseconds of the tick clock; 0 if not yet
 * @param mayBeWritten whether the result of a write of the head is unknown
 * @param failures number of consecutive store calls that failed
 * @param retryAtMs when the step's store call is sent again, in milliseconds, -1 if none is due
 */
public record PendingNoteRow(
        long callId,
        ReleaseNote note,
        long wallMs,
        long sinceMs,
        PendingNoteState state,
        long storeCallId,
        NotePlan plan,
        long revision,
        long writtenMs,
        boolean mayBeWritten,
        int failures,
        long retryAtMs) {
    /** Rejects null components. */
    public PendingNoteRow {
        requireNonNull(note);
        requireNonNull(state);
        requireNonNull(plan);
    }

    /** Returns the row of a note that has just arrived. */
    public static PendingNoteRow of(long callId, ReleaseNote note, long wallMs, long nowMs) {
        return new PendingNoteRow(
                callId,
                note,
                wallMs,
                nowMs,
                PendingNoteState.READING,
                0,
                NotePlan.UNKNOWN,
                0,
                0,
                false,
                0,
                nowMs);
    }

    /** Returns a copy in the given state that waits for a store call, or for none if it is 0. */
    public PendingNoteRow withStoreCall(PendingNoteState value, long storeCall) {
        return with(value, storeCall, plan, revision, writtenMs, mayBeWritten, failures, -1);
    }

    /** Returns a copy with another plan. */
    public PendingNoteRow withPlan(NotePlan value) {
        return with(
                state, storeCallId, value, revision, writtenMs, mayBeWritten, failures, retryAtMs);
    }

    /** Returns a copy of a note that was found at the given time to have become a revision. */
    public PendingNoteRow withWritten(long value, long nowMs) {
        return with(PendingNoteState.ROLLING_OUT, 0, plan, value, nowMs, mayBeWritten, 0, nowMs);
    }

    /** Returns a copy after a write of the head with an unknown result. */
    public PendingNoteRow withUncertainWrite() {
        return with(state, storeCallId, plan, revision, writtenMs, true, failures, retryAtMs);
    }

    /** Returns a copy that is to be retried from a state on at the given time. */
    public PendingNoteRow withRetryAt(PendingNoteState from, long atMs) {
        return with(from, 0, plan, revision, writtenMs, mayBeWritten, failures + 1, atMs);
    }

    /** Returns a copy after a response to a store call. */
    public PendingNoteRow withStoreAnswer() {
        return with(state, 0, plan, revision, writtenMs, mayBeWritten, 0, -1);
    }

    private PendingNoteRow with(
            PendingNoteState nextState,
            long storeCall,
            NotePlan nextPlan,
            long nextRevision,
            long nextWrittenMs,
            boolean writeUncertain,
            int nextFailures,
            long nextRetryAtMs) {
        return new PendingNoteRow(
                callId,
                note,
                wallMs,
                sinceMs,
                nextState,
                storeCall,
                nextPlan,
                nextRevision,
                nextWrittenMs,
                writeUncertain,
                nextFailures,
                nextRetryAtMs);
    }
}
