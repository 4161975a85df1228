package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.message.StoreRecord.HeadRecord;

/**
 * The newest head of the configuration that is known to be written.
 *
 * @param record the head
 */
public record HeadRow(HeadRecord record) {
    /** The row before a head was seen. */
    public static final HeadRow UNSEEN = new HeadRow(HeadRecord.EMPTY);

    /** Rejects null components. */
    public HeadRow {
        requireNonNull(record);
    }

    /** Returns the row after a head was seen or written; an older one changes nothing. */
    public HeadRow withHead(HeadRecord head) {
        return head.revision() > record.revision() ? new HeadRow(head) : this;
    }
}
