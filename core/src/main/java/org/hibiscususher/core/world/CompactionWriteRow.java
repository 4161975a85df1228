package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.StoreRecord;

/**
 * A record that has to be written before a head may name it.
 *
 * @param storeCallId the write
 * @param noteCallId the operator's call whose note needs it
 * @param key where it is written
 * @param value the record
 * @param retryAtMs when it is written again, in milliseconds of the caller's clock; -1 while the
 *     write is out
 */
public record CompactionWriteRow(
        long storeCallId, long noteCallId, RecordKey key, StoreRecord value, long retryAtMs) {
    /** Checks the fields. */
    public CompactionWriteRow {
        requireNonNull(key);
        requireNonNull(value);
    }

    /** Returns a copy that waits for a further try. */
    public CompactionWriteRow withRetryAt(long atMs) {
        return new CompactionWriteRow(storeCallId, noteCallId, key, value, atMs);
    }
}
