package org.hibiscususher.core.world;

/**
 * What a member has reported about the configuration, with a lower bound of when it did.
 *
 * <p>A message that acknowledges a sequence was sent after that sequence was. So the time at which
 * this entry sent the sequence is a lower bound of the time at which the message was sent. No
 * common clock is needed, and a message that was delayed proves nothing newer.
 *
 * @param probeSequence a sequence sent to the member that it has not acknowledged yet, 0 if none;
 *     the next one is recorded only once this is acknowledged
 * @param probeMs when that sequence was sent, in milliseconds of the tick clock, -1 if there is
 *     none
 * @param acknowledgedSequence newest recorded sequence that was acknowledged, 0 if none
 * @param acknowledgedSentMs when that sequence was sent, in milliseconds of the tick clock, -1 if
 *     there is none
 * @param knownRevision newest revision that the member is known to know of
 * @param currentAsOfMs latest time at which the member's revision is proven to have been current,
 *     -1 if there is no proof
 */
public record PeerFreshnessRow(
        long probeSequence,
        long probeMs,
        long acknowledgedSequence,
        long acknowledgedSentMs,
        long knownRevision,
        long currentAsOfMs) {
    /** The row of a member from which no message was received. */
    public static final PeerFreshnessRow NONE = new PeerFreshnessRow(0, -1, 0, -1, 0, -1);

    /** Returns a copy after a message was sent to the member. */
    public PeerFreshnessRow withSent(long sequence, long nowMs) {
        return probeSequence > 0
                ? this
                : new PeerFreshnessRow(
                        sequence,
                        nowMs,
                        acknowledgedSequence,
                        acknowledgedSentMs,
                        knownRevision,
                        currentAsOfMs);
    }

    /**
     * Returns a copy after a message from the member.
     *
     * @param acknowledged highest sequence that the message acknowledges
     * @param known newest revision that the member knows of
     * @param freshAgeMs age of the member's own proof when it sent the message, in milliseconds, -1
     *     if it had none
     */
    public PeerFreshnessRow withReceived(long acknowledged, long known, long freshAgeMs) {
        boolean acknowledgesProbe = probeSequence > 0 && acknowledged >= probeSequence;
        boolean acknowledgesEarlier =
                acknowledgedSequence > 0 && acknowledged >= acknowledgedSequence;
        long sentNoEarlierThanMs =
                acknowledgesProbe ? probeMs : acknowledgesEarlier ? acknowledgedSentMs : -1;
        long provenMs =
                sentNoEarlierThanMs < 0 || freshAgeMs < 0
                        ? currentAsOfMs
                        : Math.max(currentAsOfMs, sentNoEarlierThanMs - freshAgeMs);
        return new PeerFreshnessRow(
                acknowledgesProbe ? 0 : probeSequence,
                acknowledgesProbe ? -1 : probeMs,
                acknowledgesProbe ? probeSequence : acknowledgedSequence,
                acknowledgesProbe ? probeMs : acknowledgedSentMs,
                Math.max(knownRevision, known),
                provenMs);
    }
}
