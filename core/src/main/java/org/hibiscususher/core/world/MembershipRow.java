package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.message.StoreRecord.MembershipRecord;

/**
 * The membership record as last seen.
 *
 * @param version its version in the store, 0 if it was not seen
 * @param record the record
 */
public record MembershipRow(long version, MembershipRecord record) {
    /** The row before the record was seen. */
    public static final MembershipRow UNSEEN = new MembershipRow(0, MembershipRecord.EMPTY);

    /** Rejects null components. */
    public MembershipRow {
        requireNonNull(record);
    }
}
