package org.hibiscususher.core.note;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.config.ConfigurationDelta;

/**
 * A release note that was accepted, as the history keeps it.
 *
 * @param revision the revision that it became, 1 or more
 * @param id the note's own id
 * @param author who wrote it
 * @param summary one line for the history
 * @param writtenMs when it was written, in milliseconds since 1970 of the writer's wall clock
 * @param digest digest of what it asks for; tells a repeated note from another with the same id
 * @param changeSummary what it changed, in one line
 * @param delta what it changed; {@link ConfigurationDelta#NONE} if not whole
 * @param hasDelta whether the delta is here; a large one is found in the snapshot alone
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
    private static final int FIXED_BYTES = 200;

    /** Checks the fields. */
    public AcceptedNote {
        requireNonNull(id);
        requireNonNull(author);
        requireNonNull(summary);
        requireNonNull(digest);
        requireNonNull(changeSummary);
        requireNonNull(delta);
        if (revision < 1) {
            throw new IllegalArgumentException("revision: " + revision);
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

    /** Returns about how many bytes the note takes in the platform's store. */
    public int estimatedBytes() {
        return FIXED_BYTES
                + id.length()
                + author.length()
                + summary.length()
                + delta.estimatedBytes();
    }
}
