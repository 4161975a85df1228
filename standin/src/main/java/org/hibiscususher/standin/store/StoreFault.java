package org.hibiscususher.standin.store;

/**
 * Faults that a simulated store can have. The {@code /fault} endpoint selects a fault by the name
 * of its constant.
 */
public enum StoreFault {
    /** No fault. */
    NONE(true, true, true, 0),
    /** Neither applies calls nor sends responses. */
    DOWN(false, false, false, 0),
    /**
     * Applies calls and sends responses 800 ms late. The simulated store delays watch events too.
     */
    SLOW(true, true, true, 800),
    /** Applies calls but sends no responses, so that callers don't know the outcome. */
    LOSES_ANSWERS(true, false, true, 0),
    /** Handles calls normally but sends no watch events. */
    FROZEN_WATCH(true, true, false, 0);

    private final boolean mAppliesCalls;
    private final boolean mSendsResponses;
    private final boolean mNotifiesWatches;
    private final int mResponseDelayMs;

    StoreFault(
            boolean appliesCalls,
            boolean sendsResponses,
            boolean notifiesWatches,
            int responseDelayMs) {
        mAppliesCalls = appliesCalls;
        mSendsResponses = sendsResponses;
        mNotifiesWatches = notifiesWatches;
        mResponseDelayMs = responseDelayMs;
    }

    /** Returns whether calls take effect. */
    public boolean appliesCalls() {
        return mAppliesCalls;
    }

    /** Returns whether responses are sent. */
    public boolean sendsResponses() {
        return mSendsResponses;
    }

    /** Returns whether changes are sent to watches. */
    public boolean notifiesWatches() {
        return mNotifiesWatches;
    }

    /** Returns the extra delay of responses, in milliseconds. */
    public int delayMs() {
        return mResponseDelayMs;
    }
}
