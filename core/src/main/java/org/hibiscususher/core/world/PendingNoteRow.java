package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.note.ReleaseNote;

/**
 * A release note on its way into force, and the operator's call that waits for it.
 *
 * @param callId the operator's call
 * @param note the note
 * @param wallMs when it came, in milliseconds since 1970 of the wall clock
 * @param sinceMs when it came, in milliseconds of the caller's clock
 * @param state where it stands
 * @param storeCallId the store call that it waits for, 0 if none
 * @param plan what it builds on and becomes
 * @param revision the revision that it became, 0 if none yet
 * @param writtenMs when it was known to be written, in milliseconds of the caller's clock
 * @param mayBeWritten whether a write of it had no answer
 * @param failures store calls in a row that failed
 * @param retryAtMs when the store is asked again, -1 if no retry is due
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
    /** Checks the fields. */
    public PendingNoteRow {
        requireNonNull(note);
        requireNonNull(state);
        requireNonNull(plan);
    }

    /** Returns the row of a note that has just come. */
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

    /** Returns a copy in another state that waits for a store call, 0 for none. */
    public PendingNoteRow withStoreCall(PendingNoteState value, long storeCall) {
        return with(value, storeCall, plan, revision, writtenMs, mayBeWritten, failures, -1);
    }

    /** Returns a copy with another plan. */
    public PendingNoteRow withPlan(NotePlan value) {
        return with(
                state, storeCallId, value, revision, writtenMs, mayBeWritten, failures, retryAtMs);
    }

    /** Returns a copy that is known to have become a revision. */
    public PendingNoteRow withWritten(long value, long nowMs) {
        return with(PendingNoteState.ROLLING_OUT, 0, plan, value, nowMs, mayBeWritten, 0, nowMs);
    }

    /** Returns a copy whose write had no answer. */
    public PendingNoteRow withUncertainWrite() {
        return with(state, storeCallId, plan, revision, writtenMs, true, failures, retryAtMs);
    }

    /** Returns a copy that tries again from a state on at a time. */
    public PendingNoteRow withRetryAt(PendingNoteState from, long atMs) {
        return with(from, 0, plan, revision, writtenMs, mayBeWritten, failures + 1, atMs);
    }

    /** Returns a copy after a store call was answered. */
    public PendingNoteRow withStoreAnswer() {
        return with(state, 0, plan, revision, writtenMs, mayBeWritten, 0, -1);
    }

    private PendingNoteRow with(
            PendingNoteState inState,
            long storeCall,
            NotePlan withPlan,
            long becameRevision,
            long atMs,
            boolean unsure,
            int failed,
            long againMs) {
        return new PendingNoteRow(
                callId,
                note,
                wallMs,
                sinceMs,
                inState,
                storeCall,
                withPlan,
                becameRevision,
                atMs,
                unsure,
                failed,
                againMs);
    }
}
