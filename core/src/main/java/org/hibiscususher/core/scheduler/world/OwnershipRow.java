package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.scheduler.message.Ownership;

/**
 * The owner of the scheduling, as last reported by the store.
 *
 * @param known whether the store has reported it yet
 * @param ownership what it reported
 * @param updatedMs when it reported that, in milliseconds of the steady clock
 */
public record OwnershipRow(boolean known, Ownership ownership, long updatedMs) {
    /** Rejects null components. */
    public OwnershipRow {
        requireNonNull(ownership);
    }
}
