package org.hibiscususher.core.message;

import static java.util.Objects.requireNonNull;

/**
 * A record about hosts as it stands in the platform's store.
 *
 * @param key its key
 * @param record its value and version
 */
public record FleetRecord(RecordKey key, VersionedRecord record) {
    /** Checks the fields. */
    public FleetRecord {
        requireNonNull(key);
        requireNonNull(record);
        if (!key.kind().isFleet()) {
            throw new IllegalArgumentException("not about hosts: " + key);
        }
    }
}
