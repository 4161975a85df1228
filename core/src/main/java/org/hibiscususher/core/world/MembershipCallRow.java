package org.hibiscususher.core.world;

/**
 * How this entry reaches the membership record.
 *
 * @param callId the call that is out, 0 if none
 * @param sinceMs when the last call was made, in milliseconds of the caller's clock
 * @param readFirst whether the record must be read before it is written again
 * @param notBeforeMs when the next call may be made
 * @param failures calls that failed in a row
 */
public record MembershipCallRow(
        long callId, long sinceMs, boolean readFirst, long notBeforeMs, int failures) {
    /** The row before the first call. */
    public static final MembershipCallRow NONE = new MembershipCallRow(0, 0, true, 0, 0);

    /** Returns a copy while a call is out. */
    public MembershipCallRow called(long id, long nowMs) {
        return new MembershipCallRow(id, nowMs, readFirst, notBeforeMs, failures);
    }

    /** Returns a copy after an answer; another read is needed unless the record is known. */
    public MembershipCallRow answered(boolean recordKnown) {
        return new MembershipCallRow(0, sinceMs, !recordKnown, notBeforeMs, 0);
    }

    /** Returns a copy after a call without an answer. */
    public MembershipCallRow failed(long retryMs) {
        return new MembershipCallRow(0, sinceMs, true, retryMs, failures + 1);
    }
}
