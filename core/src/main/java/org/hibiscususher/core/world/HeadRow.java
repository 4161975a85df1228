package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.message.StoreRecord.HeadRecord;

/**
 * The newest head of the configuration's history that is known to have been written.
 *
 * @param record the head
 */
public record HeadRow(HeadRecord record) {
    /** The row before a head has been seen. */
    public static final HeadRow UNSEEN = new HeadRow(HeadRecord.EMPTY);

    /** Checks the fields. */
    public HeadRow {
        requireNonNull(record);
    }

    /** Returns the row after a head has been seen or written; an older one changes nothing. */
    public HeadRow withHead(HeadRecord head) {
        return head.revision() > record.revision() ? new HeadRow(head) : this;
    }
}
