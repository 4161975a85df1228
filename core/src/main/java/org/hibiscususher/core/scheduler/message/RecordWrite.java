package org.hibiscususher.core.scheduler.message;

import static java.util.Objects.requireNonNull;

/**
 * A write of a commit.
 *
 * @param record the record
 * @param leaseId lease that the record ends with; 0 for none
 */
public record RecordWrite(StoredRecord record, long leaseId) {
    /** Checks the parts. */
    public RecordWrite {
        requireNonNull(record);
    }

    /** Returns a write of a record that stays. */
    public static RecordWrite of(StoredRecord record) {
        return new RecordWrite(record, 0);
    }
}
