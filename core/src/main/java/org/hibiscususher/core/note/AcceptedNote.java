package org.hibiscususher.core.note;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.config.ConfigurationDelta;

/**
 * A release note that was committed to the configuration history.
 *
 * @param revision the configuration revision that the note created, from 1
 * @param id the id that the author gave the note, unique within the history
 * @param author name of the author, as the note gives it
 * @param summary the author's description of the note in one line; may be empty
 * @param writtenMs when the committing entry received the note, in milliseconds since 1970 by the
 *     entry's wall clock
 * @param digest {@link NoteDigest} of the requested changes; distinguishes a note that is submitted
 *     again from a different note with the same id
 * @param changeSummary counts of added or replaced and of removed declarations by type, in one line
 * @param delta difference to the previous revision; {@link ConfigurationDelta#NONE} if {@code
 *     hasDelta} is false
 * @param hasDelta whether the delta is present; it is left out where it is too large for the head
 *     record, and the result is then found only in the snapshot of this revision
 */
public record AcceptedNote(
        long revision,
        String id,
        String author,
        String summary,
        long writtenMs,
        String digest,
        String changeSummary,
        ConfigurationDelta delta,
        boolean hasDelta) {
    /** Allowance for the other fields and for the syntax of the encoding. */
    private static final int OVERHEAD_BYTES = 200;

    /** Checks that the fields are present and the revision is 1 or more. */
    public AcceptedNote {
        requireNonNull(id);
        requireNonNull(author);
        requireNonNull(summary);
        requireNonNull(digest);
        requireNonNull(changeSummary);
        requireNonNull(delta);
        if (revision < 1) {
            throw new IllegalArgumentException("revision must be 1 or more: " + revision);
        }
    }

    /** Returns a copy without its delta. */
    public AcceptedNote withoutDelta() {
        return new AcceptedNote(
                revision,
                id,
                author,
                summary,
                writtenMs,
                digest,
                changeSummary,
                ConfigurationDelta.NONE,
                false);
    }

    /** Returns the approximate size of the note in the platform's store, in bytes. */
    public int estimatedBytes() {
        return OVERHEAD_BYTES
                + id.length()
                + author.length()
                + summary.length()
                + delta.estimatedBytes();
    }
}
