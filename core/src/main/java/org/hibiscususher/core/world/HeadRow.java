package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.message.StoreRecord.HeadRecord;

/**
 * The newest head of the configuration's history that is known to have been written.
 *
 * @param record the head
 * @param seenMs when the store last showed a head, in milliseconds of the caller's clock, -1 if
 *     never
 * @param askedMs when the store was last asked for the head, -1 if never
 */
public record HeadRow(HeadRecord record, long seenMs, long askedMs) {
    /** The row before a head has been seen. */
    public static final HeadRow UNSEEN = new HeadRow(HeadRecord.EMPTY, -1, -1);

    /** Checks the fields. */
    public HeadRow {
        requireNonNull(record);
    }

    /** Returns a copy for a head that the store has shown. */
    public HeadRow seen(HeadRecord shown, long nowMs) {
        return new HeadRow(shown.revision() > record.revision() ? shown : record, nowMs, askedMs);
    }

    /** Returns a copy for a head that this entry has written. */
    public HeadRow written(HeadRecord value) {
        return new HeadRow(value.revision() > record.revision() ? value : record, seenMs, askedMs);
    }

    /** Returns a copy after the store was asked. */
    public HeadRow asked(long nowMs) {
        return new HeadRow(record, seenMs, nowMs);
    }
}
