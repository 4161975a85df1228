package org.hibiscususher.core.world;

/**
 * How current the configuration in force here is known to be.
 *
 * @param readSentMs when a read of the head was last sent, in milliseconds of the tick clock, -1 if
 *     never
 * @param answeredReadSentMs when the newest read of the head that was answered had been sent, -1 if
 *     none was answered
 * @param knownRevision newest revision that this entry knows to be written
 * @param currentAsOfMs latest time at which the configuration in force here is proven to have been
 *     current, -1 if there is no proof
 */
public record FreshnessRow(
        long readSentMs, long answeredReadSentMs, long knownRevision, long currentAsOfMs) {
    /** The row before anything is known. */
    public static final FreshnessRow NONE = new FreshnessRow(-1, -1, 0, -1);

    /** Returns a copy after a read was sent. */
    public FreshnessRow withReadSent(long nowMs) {
        return new FreshnessRow(nowMs, answeredReadSentMs, knownRevision, currentAsOfMs);
    }

    /**
     * Returns a copy after an answer to the read that was sent at the given time. The record is as
     * new as the sending of the read, not as its answer.
     */
    public FreshnessRow withReadAnswered(long sentMs) {
        return new FreshnessRow(
                readSentMs, Math.max(answeredReadSentMs, sentMs), knownRevision, currentAsOfMs);
    }

    /** Returns a copy that knows of a written revision; an older one changes nothing. */
    public FreshnessRow withKnownRevision(long revision) {
        return revision <= knownRevision
                ? this
                : new FreshnessRow(readSentMs, answeredReadSentMs, revision, currentAsOfMs);
    }

    /**
     * Returns a copy with a proof that the configuration was current at a time; an earlier time
     * changes nothing.
     */
    public FreshnessRow withCurrentAsOf(long asOfMs) {
        return asOfMs <= currentAsOfMs
                ? this
                : new FreshnessRow(readSentMs, answeredReadSentMs, knownRevision, asOfMs);
    }

    /** Returns a copy without proof, whose next read is due at once. */
    public FreshnessRow invalidated() {
        return new FreshnessRow(-1, -1, knownRevision, -1);
    }
}
