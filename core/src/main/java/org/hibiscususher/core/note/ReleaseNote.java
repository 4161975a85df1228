package org.hibiscususher.core.note;

import static java.util.Objects.requireNonNull;

import java.util.OptionalLong;

/**
 * An operator's change to the configuration, committed as a whole or rejected as a whole.
 *
 * @param id the id that the author gave the note; a note submitted again under the same id with the
 *     same changes is applied once
 * @param author name of the author
 * @param summary the author's description in one line, kept in the history; may be empty
 * @param baseRevision the revision that the author's change is based on, so that the note is
 *     rejected if another note has been committed since; empty to apply it to the newest revision
 * @param added declarations of objects that don't exist yet
 * @param changed declarations that replace those of existing objects with the same id
 * @param withdrawn ids of the objects to remove
 */
public record ReleaseNote(
        String id,
        String author,
        String summary,
        OptionalLong baseRevision,
        Declarations added,
        Declarations changed,
        Withdrawals withdrawn) {
    /** Checks that the fields are present. */
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
