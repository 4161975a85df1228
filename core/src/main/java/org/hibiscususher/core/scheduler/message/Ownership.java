package org.hibiscususher.core.scheduler.message;

import static java.util.Objects.requireNonNull;

import java.util.Optional;

/**
 * The owner of the scheduling, as recorded in the store.
 *
 * @param owner the owner; empty if there is none, for example because its lease has expired
 * @param ownerRevision store revision of the owner's record; 0 if there is none
 * @param term the newest term; empty if there has been none
 * @param termRevision store revision of the term's record; 0 if there is none
 */
public record Ownership(
        Optional<StoredRecord.Owner> owner,
        long ownerRevision,
        Optional<StoredRecord.Term> term,
        long termRevision) {
    /** No process has been the owner yet. */
    public static final Ownership NONE = new Ownership(Optional.empty(), 0, Optional.empty(), 0);

    /** Rejects null components. */
    public Ownership {
        requireNonNull(owner);
        requireNonNull(term);
    }

    /** Returns the number of the newest term; 0 if there has been none. */
    public long generation() {
        return term.map(StoredRecord.Term::generation).orElse(0L);
    }
}
