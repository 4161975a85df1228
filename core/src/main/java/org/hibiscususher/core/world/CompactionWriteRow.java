package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.StoreRecord;

/**
 * A write of a record that has to be stored before a new head may refer to it.
 *
 * @param storeCallId id of the store call that writes the record
 * @param noteCallId call of the operator whose note needs the new head
 * @param key key of the record
 * @param value the record
 * @param retryAtMs when the write is repeated, in milliseconds; -1 while it is pending
 */
public record CompactionWriteRow(
        long storeCallId, long noteCallId, RecordKey key, StoreRecord value, long retryAtMs) {
    /** Rejects null components. */
    public CompactionWriteRow {
        requireNonNull(key);
        requireNonNull(value);
    }

    /** Returns a copy that is written again at the given time. */
    public CompactionWriteRow withRetryAt(long atMs) {
        return new CompactionWriteRow(storeCallId, noteCallId, key, value, atMs);
    }
}
