package org.hibiscususher.standin.store;

/** How the store misbehaves. */
public enum StoreFault {
    /** Works. */
    NONE(true, true, true, 0),
    /** Does nothing and answers nothing. */
    DOWN(false, false, false, 0),
    /** Answers late. */
    SLOW(true, true, true, 800),
    /** Carries out calls and answers nothing. */
    LOSES_ANSWERS(true, false, true, 0),
    /** Shows nothing on watches. */
    FROZEN_WATCH(true, true, false, 0);

    private final boolean mActs;
    private final boolean mAnswers;
    private final boolean mShows;
    private final int mDelayMs;

    StoreFault(boolean acts, boolean answers, boolean shows, int delayMs) {
        mActs = acts;
        mAnswers = answers;
        mShows = shows;
        mDelayMs = delayMs;
    }

    /** Returns whether calls take effect. */
    public boolean appliesCalls() {
        return mActs;
    }

    /** Returns whether calls are answered. */
    public boolean sendsResponses() {
        return mAnswers;
    }

    /** Returns whether watches show changes. */
    public boolean notifiesWatches() {
        return mShows;
    }

    /** Returns the delay of answers, in milliseconds. */
    public int delayMs() {
        return mDelayMs;
    }
}
