package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.note.ReleaseNote;

/**
 * A release note on its way into force, and the operator's call that waits for it.
 *
 * @param callId the operator's call
 * @param note the note
 * @param state where it stands
 * @param storeCallId the store call that it waits for, 0 if none
 * @param revision the revision that it became, 0 if none yet
 * @param sinceMs when it came, in milliseconds of the caller's clock
 */
public record PendingNoteRow(
        long callId,
        ReleaseNote note,
        PendingNoteState state,
        long storeCallId,
        long revision,
        long sinceMs) {
    /** Checks the fields. */
    public PendingNoteRow {
        requireNonNull(note);
        requireNonNull(state);
    }

    /** Returns a copy in another state. */
    public PendingNoteRow withState(PendingNoteState value, long storeCall, long becameRevision) {
        return new PendingNoteRow(callId, note, value, storeCall, becameRevision, sinceMs);
    }
}
