package org.hibiscususher.core.world;

/**
 * The state of this entry's store calls for the membership record, of which one is pending at a
 * time.
 *
 * @param callId id of the pending call, 0 if none
 * @param sentMs when the last call was sent, in milliseconds of the tick clock
 * @param readFirst whether the record must be read, or delivered by a watch, before it is written
 *     again
 * @param notBeforeMs earliest time of the next call, in milliseconds
 * @param failures number of consecutive calls that failed
 */
public record MembershipCallRow(
        long callId, long sentMs, boolean readFirst, long notBeforeMs, int failures) {
    /** The row before the first call. */
    public static final MembershipCallRow NONE = new MembershipCallRow(0, 0, true, 0, 0);

    /** Returns a copy with a pending call. */
    public MembershipCallRow withCall(long id, long nowMs) {
        return new MembershipCallRow(id, nowMs, readFirst, notBeforeMs, failures);
    }

    /** Returns a copy after the record was read. */
    public MembershipCallRow withRead() {
        return new MembershipCallRow(0, sentMs, false, 0, 0);
    }

    /**
     * Returns a copy after a write or a conflict. The record is read before the next write, unless
     * a watch delivers it.
     */
    public MembershipCallRow withWrite(long nextMs) {
        return new MembershipCallRow(0, sentMs, true, nextMs, 0);
    }

    /**
     * Returns a copy after a call without a response. A write may have taken effect; the record is
     * then read before the next call writes it.
     */
    public MembershipCallRow withFailure(boolean wrote, long retryMs) {
        return new MembershipCallRow(0, sentMs, readFirst || wrote, retryMs, failures + 1);
    }

    /** Returns a copy after a newer record was seen. */
    public MembershipCallRow withRecordSeen() {
        return readFirst
                ? new MembershipCallRow(callId, sentMs, false, notBeforeMs, failures)
                : this;
    }
}
