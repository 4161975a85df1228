package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

/**
 * Statistics of a queue's attempts made by this entry, and its budget of retries.
 *
 * <p>Retries are limited by a token bucket that is filled by successful attempts and by time, so
 * that retries don't multiply the load when targets fail.
 *
 * @param queue the queue
 * @param samples number of run times in the mean, counted up to the number that is enough to use it
 * @param meanRunMs moving average of the run times, in milliseconds
 * @param retryTokens tokens left for retries, of which each costs one
 * @param refilledMs when tokens were last added for elapsed time, in milliseconds
 */
public record QueueStatsRow(
        String queue, int samples, double meanRunMs, double retryTokens, long refilledMs) {
    private static final int ENOUGH_SAMPLES = 16;
    private static final double MAX_TOKENS = 20;

    /** Allows retries of a fifth of the complete responses. */
    private static final double TOKENS_PER_RESPONSE = 0.2;

    /** Allows one retry a second of a queue that gets no responses. */
    private static final double TOKENS_PER_MS = 0.001;

    /** Rejects null components. */
    public QueueStatsRow {
        requireNonNull(queue);
    }

    /** Returns the row of a queue without attempts, with a full bucket. */
    public static QueueStatsRow of(String queue, long nowMs) {
        return new QueueStatsRow(queue, 0, 0, MAX_TOKENS, nowMs);
    }

    /** Returns whether the mean is over enough run times to be used. */
    public boolean hasEnoughSamples() {
        return samples >= ENOUGH_SAMPLES;
    }

    /** Returns whether a token for a retry is left. */
    public boolean allowsRetry() {
        return retryTokens >= 1;
    }

    /** Returns a copy after a complete response, which adds to the mean and to the bucket. */
    public QueueStatsRow withRunTime(long runMs) {
        int counted = Math.min(samples + 1, ENOUGH_SAMPLES);
        double mean = meanRunMs + (runMs - meanRunMs) / counted;
        double tokens = Math.min(MAX_TOKENS, retryTokens + TOKENS_PER_RESPONSE);
        return new QueueStatsRow(queue, counted, mean, tokens, refilledMs);
    }

    /** Returns a copy with the tokens for the time elapsed. */
    public QueueStatsRow withRefilledTokens(long nowMs) {
        double tokens = Math.min(MAX_TOKENS, retryTokens + (nowMs - refilledMs) * TOKENS_PER_MS);
        return new QueueStatsRow(queue, samples, meanRunMs, tokens, nowMs);
    }

    /** Returns a copy after a retry. */
    public QueueStatsRow withRetry() {
        return new QueueStatsRow(queue, samples, meanRunMs, retryTokens - 1, refilledMs);
    }
}
