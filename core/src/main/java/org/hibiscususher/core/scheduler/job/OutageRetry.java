package org.hibiscususher.core.scheduler.job;

import org.hibiscususher.core.scheduler.world.StoreHealthRow;

/**
 * Decides when callers that are rejected while the store is away should retry.
 *
 * <p>Answers an outage of several seconds, in which a caller with few retries would use them all
 * up. The longer the store has been away, the later the retry; a jitter spreads the callers over
 * the time after its return.
 */
public final class OutageRetry {
    private static final long MIN_MS = 1_000;
    private static final long MAX_MS = 4_000;

    /** Range of the jitter, in milliseconds. */
    private static final int JITTER_MS = 1_000;

    private OutageRetry() {}

    /**
     * Returns after how many milliseconds a caller should retry.
     *
     * @param nowMs the time on the steady clock
     * @param jitterSeed decides the jitter; should differ between callers
     */
    public static long afterMs(StoreHealthRow store, long nowMs, int jitterSeed) {
        long awayMs = nowMs - store.lastSuccessMs();
        return Math.max(MIN_MS, Math.min(MAX_MS, awayMs)) + Math.floorMod(jitterSeed, JITTER_MS);
    }
}
