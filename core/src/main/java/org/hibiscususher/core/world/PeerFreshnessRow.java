package org.hibiscususher.core.world;

/**
 * What another entry has said of the configuration, and no earlier than when.
 *
 * <p>A message that acknowledges a sequence was sent after that sequence was. So the time at which
 * this entry sent the sequence bounds the age of the message, without a common clock.
 *
 * @param probeSequence a sequence sent to the member and not yet acknowledged, 0 if none
 * @param probeMs when it was sent, in milliseconds of the caller's clock
 * @param acknowledgedSequence newest probe that was acknowledged, 0 if none
 * @param acknowledgedSentMs when that one was sent, -1 if none
 * @param knownRevision newest revision that the member is known to know of
 * @param currentAsOfMs time as of which the member's revision was current, -1 if not known
 */
public record PeerFreshnessRow(
        long probeSequence,
        long probeMs,
        long acknowledgedSequence,
        long acknowledgedSentMs,
        long knownRevision,
        long currentAsOfMs) {
    /** The row of a member that was never heard. */
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
     * @param freshAgeMs age of the member's own knowledge when it sent the message, -1 if none
     */
    public PeerFreshnessRow withReceived(long acknowledged, long known, long freshAgeMs) {
        boolean answersProbe = probeSequence > 0 && acknowledged >= probeSequence;
        boolean answersOld = acknowledgedSequence > 0 && acknowledged >= acknowledgedSequence;
        long sentAfterMs = answersProbe ? probeMs : answersOld ? acknowledgedSentMs : -1;
        long fresh =
                sentAfterMs < 0 || freshAgeMs < 0
                        ? currentAsOfMs
                        : Math.max(currentAsOfMs, sentAfterMs - freshAgeMs);
        return new PeerFreshnessRow(
                answersProbe ? 0 : probeSequence,
                answersProbe ? -1 : probeMs,
                answersProbe ? probeSequence : acknowledgedSequence,
                answersProbe ? probeMs : acknowledgedSentMs,
                Math.max(knownRevision, known),
                fresh);
    }
}
