package org.hibiscususher.core.scheduler.message;

import static java.util.Objects.requireNonNull;

import java.util.Optional;

/**
 * Who owns the scheduling, as the store tells.
 *
 * @param owner the owner; empty if there is none
 * @param ownerRevision revision of the owner's record; 0 if there is none
 * @param term the newest term; empty if there was none yet
 * @param termRevision revision of the term's record; 0 if there is none
 */
public record Ownership(
        Optional<StoredRecord.Owner> owner,
        long ownerRevision,
        Optional<StoredRecord.Term> term,
        long termRevision) {
    /** Nobody has owned the scheduling yet. */
    public static final Ownership NONE = new Ownership(Optional.empty(), 0, Optional.empty(), 0);

    /** Checks the parts. */
    public Ownership {
        requireNonNull(owner);
        requireNonNull(term);
    }
}
