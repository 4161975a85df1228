package org.hibiscususher.core.scheduler.message;

import static java.util.Objects.requireNonNull;

import java.util.Optional;

/**
 * A record read from the store.
 *
 * @param name record name
 * @param revision store revision of its last change; 0 if there is no such record
 * @param record the record; empty if it does not exist or can't be decoded
 */
public record LoadedRecord(RecordName name, long revision, Optional<StoredRecord> record) {
    /** Rejects null components. */
    public LoadedRecord {
        requireNonNull(name);
        requireNonNull(record);
    }
}
