package org.hibiscususher.core.scheduler.message;

import static java.util.Objects.requireNonNull;

/**
 * A record that a commit writes.
 *
 * @param record new content; it replaces the record of the same name
 * @param leaseId store lease on whose expiry the record is removed; 0 for none
 */
public record RecordWrite(StoredRecord record, long leaseId) {
    /** Rejects null components. */
    public RecordWrite {
        requireNonNull(record);
    }

    /** Returns a write of a record without a lease. */
    public static RecordWrite of(StoredRecord record) {
        return new RecordWrite(record, 0);
    }
}
