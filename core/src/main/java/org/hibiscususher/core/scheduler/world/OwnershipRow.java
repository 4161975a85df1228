package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.scheduler.message.Ownership;

/**
 * Who owns the scheduling, as last told by the store.
 *
 * @param known whether the store has told it yet
 * @param ownership what it told
 * @param updatedMs when it was told
 */
public record OwnershipRow(boolean known, Ownership ownership, long updatedMs) {
    /** Checks the parts. */
    public OwnershipRow {
        requireNonNull(ownership);
    }
}
