package org.hibiscususher.core.world;

/**
 * How this entry reaches the membership record.
 *
 * @param callId the call that is out, 0 if none
 * @param sentMs when the last call was made, in milliseconds of the caller's clock
 * @param readFirst whether the record must be read before it is written again
 * @param notBeforeMs when the next call may be made
 * @param failures calls that failed in a row
 */
public record MembershipCallRow(
        long callId, long sentMs, boolean readFirst, long notBeforeMs, int failures) {
    /** The row before the first call. */
    public static final MembershipCallRow NONE = new MembershipCallRow(0, 0, true, 0, 0);

    /** Returns a copy while a call is out. */
    public MembershipCallRow withCall(long id, long nowMs) {
        return new MembershipCallRow(id, nowMs, readFirst, notBeforeMs, failures);
    }

    /** Returns a copy after the record was read. */
    public MembershipCallRow withRead() {
        return new MembershipCallRow(0, sentMs, false, 0, 0);
    }

    /** Returns a copy after a write or a conflict; unless a watch shows the record it is read. */
    public MembershipCallRow withWrite(long nextMs) {
        return new MembershipCallRow(0, sentMs, true, nextMs, 0);
    }

    /** Returns a copy after a call without an answer; a write may have taken effect. */
    public MembershipCallRow withFailure(boolean wrote, long retryMs) {
        return new MembershipCallRow(0, sentMs, readFirst || wrote, retryMs, failures + 1);
    }

    /** Returns a copy after a newer record has been seen. */
    public MembershipCallRow withRecordSeen() {
        return readFirst
                ? new MembershipCallRow(callId, sentMs, false, notBeforeMs, failures)
                : this;
    }
}
