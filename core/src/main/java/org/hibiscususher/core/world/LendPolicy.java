package org.hibiscususher.core.world;

/** When spare pools lend hosts and take them back. */
public enum LendPolicy {
    /** Lends nothing; a baseline to measure against. */
    NONE(Integer.MAX_VALUE, Integer.MAX_VALUE),
    /** Lends and takes back at once; a baseline to measure against. */
    EAGER(0, 0),
    /** Lends when a pool has been short for a while, takes back when it has long had enough. */
    HYSTERESIS(1_500, 15_000);

    private final int mShortMs;
    private final int mEnoughMs;

    LendPolicy(int shortMs, int enoughMs) {
        mShortMs = shortMs;
        mEnoughMs = enoughMs;
    }

    /** Returns for how long a pool must be short before it borrows, in milliseconds. */
    public int borrowDelayMs() {
        return mShortMs;
    }

    /** Returns for how long a pool must have enough before it gives back, in milliseconds. */
    public int returnDelayMs() {
        return mEnoughMs;
    }
}
