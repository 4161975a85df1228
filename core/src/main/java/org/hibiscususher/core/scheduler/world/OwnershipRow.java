package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.scheduler.message.Ownership;

/**
 * The owner of the scheduling, as last reported by the store.
 *
 * @param known whether the store has reported it yet
 * @param ownership what it reported
 * @param termSeenMs when it first reported the newest term, in milliseconds of the steady clock
 */
public record OwnershipRow(boolean known, Ownership ownership, long termSeenMs) {
    /** Rejects null components. */
    public OwnershipRow {
        requireNonNull(ownership);
    }

    /** Returns this row after a newer report. */
    public OwnershipRow withReport(Ownership newer, long nowMs) {
        boolean sameTerm = known && newer.generation() == ownership.generation();
        return new OwnershipRow(true, newer, sameTerm ? termSeenMs : nowMs);
    }
}
