package org.hibiscususher.core.note;

import static java.util.Objects.requireNonNull;

import java.util.OptionalLong;

/**
 * One change of the configuration, accepted or refused as a whole.
 *
 * @param id the note's own id; the same id sent twice is one note
 * @param author who wrote it
 * @param summary one line for the history
 * @param baseRevision the revision that the author looked at; empty to take the newest
 * @param added new declarations
 * @param changed declarations that replace those with the same id
 * @param withdrawn ids of declarations to remove
 */
public record ReleaseNote(
        String id,
        String author,
        String summary,
        OptionalLong baseRevision,
        Declarations added,
        Declarations changed,
        Withdrawals withdrawn) {
    /** Checks the fields. */
    public ReleaseNote {
        requireNonNull(id);
        requireNonNull(author);
        requireNonNull(summary);
        requireNonNull(baseRevision);
        requireNonNull(added);
        requireNonNull(changed);
        requireNonNull(withdrawn);
    }
}
