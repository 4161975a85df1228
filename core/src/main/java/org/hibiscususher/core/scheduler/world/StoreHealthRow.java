package org.hibiscususher.core.scheduler.world;

/**
 * Whether commits to the store succeed. Times are milliseconds of the steady clock.
 *
 * @param lastSuccessMs when the store last confirmed a commit or a lease renewal
 * @param lastFailureMs when a commit last failed
 * @param failingSinceMs when the first commit failed since the last success; 0 if none has
 */
public record StoreHealthRow(long lastSuccessMs, long lastFailureMs, long failingSinceMs) {
    /** How long commits must have failed for the store to count as unreachable, in milliseconds. */
    private static final long UNREACHABLE_AFTER_MS = 400;

    /** Returns this row after a success. */
    public StoreHealthRow withSuccess(long nowMs) {
        return new StoreHealthRow(nowMs, lastFailureMs, 0);
    }

    /** Returns this row after a failed commit. */
    public StoreHealthRow withFailure(long nowMs) {
        return new StoreHealthRow(
                lastSuccessMs, nowMs, failingSinceMs == 0 ? nowMs : failingSinceMs);
    }

    /** Returns whether commits have failed for so long that the store counts as unreachable. */
    public boolean isUnreachable(long nowMs) {
        return failingSinceMs != 0 && nowMs - failingSinceMs > UNREACHABLE_AFTER_MS;
    }

    /** Returns whether a commit has failed since the last success. */
    public boolean isFailing() {
        return failingSinceMs != 0;
    }
}
