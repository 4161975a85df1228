package org.hibiscususher.core.world;

/** When spare pools lend hosts to other pools and take them back. */
public enum LendPolicy {
    /** Never lends; a baseline for measurements. */
    NONE(Integer.MAX_VALUE, Integer.MAX_VALUE),
    /** Lends and takes back without delay; a baseline for measurements. */
    EAGER(0, 0),
    /**
     * Lends and takes back after delays, so that hosts don't go back and forth with short changes
     * of demand. The delay before a return is longer, as demand may rise again.
     */
    HYSTERESIS(1_500, 15_000);

    private final int mBorrowDelayMs;
    private final int mReturnDelayMs;

    LendPolicy(int borrowDelayMs, int returnDelayMs) {
        mBorrowDelayMs = borrowDelayMs;
        mReturnDelayMs = returnDelayMs;
    }

    /** Returns how long a pool must lack hosts before it borrows, in milliseconds. */
    public int borrowDelayMs() {
        return mBorrowDelayMs;
    }

    /**
     * Returns how long a pool must have hosts to spare before it gives one back, in milliseconds.
     */
    public int returnDelayMs() {
        return mReturnDelayMs;
    }
}
