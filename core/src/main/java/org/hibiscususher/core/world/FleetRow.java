package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.message.FleetRecord;

/**
 * A record about hosts as last seen.
 *
 * @param record the record
 * @param sinceMs when it was first seen here, in milliseconds of the caller's clock
 */
public record FleetRow(FleetRecord record, long sinceMs) {
    /** Checks the fields. */
    public FleetRow {
        requireNonNull(record);
    }
}
