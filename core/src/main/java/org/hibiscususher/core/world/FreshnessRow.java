package org.hibiscususher.core.world;

/**
 * How current the configuration in force here is known to be.
 *
 * @param askedMs when a read of the head was last sent, in milliseconds of the caller's clock, -1
 *     if never
 * @param readMs when the newest answered read of the head was sent, -1 if none was answered
 * @param knownRevision newest revision that this entry knows to be written
 * @param vouchedMs time as of which the configuration in force here was current, -1 if not known
 */
public record FreshnessRow(long askedMs, long readMs, long knownRevision, long vouchedMs) {
    /** The row before anything is known. */
    public static final FreshnessRow NONE = new FreshnessRow(-1, -1, 0, -1);

    /** Returns a copy after a read was sent. */
    public FreshnessRow withAsked(long nowMs) {
        return new FreshnessRow(nowMs, readMs, knownRevision, vouchedMs);
    }

    /** Returns a copy after an answered read that was sent at the given time. */
    public FreshnessRow withRead(long sentMs) {
        return new FreshnessRow(askedMs, Math.max(readMs, sentMs), knownRevision, vouchedMs);
    }

    /** Returns a copy that knows of a written revision. */
    public FreshnessRow withKnown(long revision) {
        return revision <= knownRevision
                ? this
                : new FreshnessRow(askedMs, readMs, revision, vouchedMs);
    }

    /** Returns a copy whose configuration was current as of a time or as of a later one. */
    public FreshnessRow withVouched(long asOfMs) {
        return asOfMs <= vouchedMs
                ? this
                : new FreshnessRow(askedMs, readMs, knownRevision, asOfMs);
    }

    /** Returns a copy that vouches for nothing and asks at once. */
    public FreshnessRow withoutVouch() {
        return new FreshnessRow(-1, -1, knownRevision, -1);
    }
}
