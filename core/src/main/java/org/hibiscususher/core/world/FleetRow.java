package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.message.FleetRecord;

/**
 * The newest known version of a record about hosts.
 *
 * @param record the record
 * @param sinceMs when this version was first seen here, in milliseconds of the tick clock
 */
public record FleetRow(FleetRecord record, long sinceMs) {
    /** Rejects null components. */
    public FleetRow {
        requireNonNull(record);
    }
}
