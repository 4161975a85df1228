package org.hibiscususher.core.world;

/**
 * How current the configuration in force here is known to be.
 *
 * @param readSentMs when a read of the head was last sent, in milliseconds of the caller's clock,
 *     -1 if never
 * @param answeredReadSentMs when the newest answered read of the head was sent, -1 if none was
 *     answered
 * @param knownRevision newest revision that this entry knows to be written
 * @param currentAsOfMs time as of which the configuration in force here was current, -1 if not
 *     known
 */
public record FreshnessRow(
        long readSentMs, long answeredReadSentMs, long knownRevision, long currentAsOfMs) {
    /** The row before anything is known. */
    public static final FreshnessRow NONE = new FreshnessRow(-1, -1, 0, -1);

    /** Returns a copy after a read was sent. */
    public FreshnessRow withReadSent(long nowMs) {
        return new FreshnessRow(nowMs, answeredReadSentMs, knownRevision, currentAsOfMs);
    }

    /** Returns a copy after an answered read that was sent at the given time. */
    public FreshnessRow withReadAnswered(long sentMs) {
        return new FreshnessRow(
                readSentMs, Math.max(answeredReadSentMs, sentMs), knownRevision, currentAsOfMs);
    }

    /** Returns a copy that knows of a written revision. */
    public FreshnessRow withKnownRevision(long revision) {
        return revision <= knownRevision
                ? this
                : new FreshnessRow(readSentMs, answeredReadSentMs, revision, currentAsOfMs);
    }

    /** Returns a copy whose configuration was current as of a time or as of a later one. */
    public FreshnessRow withCurrentAsOf(long asOfMs) {
        return asOfMs <= currentAsOfMs
                ? this
                : new FreshnessRow(readSentMs, answeredReadSentMs, knownRevision, asOfMs);
    }

    /** Returns a copy that vouches for nothing and asks at once. */
    public FreshnessRow invalidated() {
        return new FreshnessRow(-1, -1, knownRevision, -1);
    }
}
