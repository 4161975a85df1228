package org.hibiscususher.core.message;

import static java.util.Objects.requireNonNull;

/**
 * A record about hosts with its key and its version in the platform's store.
 *
 * @param key key of a kind for which {@link RecordKind#isFleet} holds
 * @param record its value and version
 */
public record FleetRecord(RecordKey key, VersionedRecord record) {
    /** Rejects null components and keys of other kinds. */
    public FleetRecord {
        requireNonNull(key);
        requireNonNull(record);
        if (!key.kind().isFleet()) {
            throw new IllegalArgumentException("not the key of a record about hosts: " + key);
        }
    }
}
