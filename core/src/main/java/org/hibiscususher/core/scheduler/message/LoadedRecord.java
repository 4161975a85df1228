package org.hibiscususher.core.scheduler.message;

import static java.util.Objects.requireNonNull;

import java.util.Optional;

/**
 * A record as the store holds it.
 *
 * @param name its name
 * @param revision revision of its last change; 0 if there is no such record
 * @param record the record; empty if there is none or it can't be read
 */
public record LoadedRecord(RecordName name, long revision, Optional<StoredRecord> record) {
    /** Checks the parts. */
    public LoadedRecord {
        requireNonNull(name);
        requireNonNull(record);
    }
}
