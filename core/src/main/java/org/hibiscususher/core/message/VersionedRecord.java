package org.hibiscususher.core.message;

import static java.util.Objects.requireNonNull;

/**
 * A record and its version in the platform's store.
 *
 * @param version grows with each write, 1 or more
 * @param value the record
 */
public record VersionedRecord(long version, StoreRecord value) {
    /** Rejects null components. */
    public VersionedRecord {
        requireNonNull(value);
    }
}
