package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.message.StoreRecord.MembershipRecord;

/**
 * The membership record as last seen.
 *
 * @param version its version in the store, 0 if it has not been seen
 * @param record the record
 */
public record MembershipRow(long version, MembershipRecord record) {
    /** The row before the record has been seen. */
    public static final MembershipRow UNSEEN = new MembershipRow(0, MembershipRecord.EMPTY);

    /** Checks the fields. */
    public MembershipRow {
        requireNonNull(record);
    }
}
