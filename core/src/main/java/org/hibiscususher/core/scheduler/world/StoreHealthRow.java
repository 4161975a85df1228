package org.hibiscususher.core.scheduler.world;

/**
 * How the store answers.
 *
 * @param lastSuccessMs when a commit last took effect
 * @param lastFailureMs when a commit last failed
 * @param failingSinceMs since when commits have failed without one that took effect; 0 if they
 *     don't
 */
public record StoreHealthRow(long lastSuccessMs, long lastFailureMs, long failingSinceMs) {
    /** Time of failures after which the store counts as away, in milliseconds. */
    private static final long AWAY_MS = 400;

    /** Returns this row with a commit that took effect. */
    public StoreHealthRow withSuccess(long nowMs) {
        return new StoreHealthRow(nowMs, lastFailureMs, 0);
    }

    /** Returns this row with a commit that failed. */
    public StoreHealthRow withFailure(long nowMs) {
        return new StoreHealthRow(
                lastSuccessMs, nowMs, failingSinceMs == 0 ? nowMs : failingSinceMs);
    }

    /** Returns whether commits fail for so long that the store counts as away. */
    public boolean isUnreachable(long nowMs) {
        return failingSinceMs != 0 && nowMs - failingSinceMs > AWAY_MS;
    }

    /** Returns whether the last commit failed. */
    public boolean isFailing() {
        return failingSinceMs != 0;
    }
}
