package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

/**
 * What this entry has learnt of a queue from the attempts that it has made.
 *
 * @param queue the queue
 * @param samples how many run times were seen, counted no further than needed
 * @param meanRunMs moving mean of the run times, in milliseconds
 * @param retryTokens what is left for retries; each costs one
 * @param refilledMs when tokens were last added for time passed, in milliseconds
 */
public record QueueStatsRow(
        String queue, int samples, double meanRunMs, double retryTokens, long refilledMs) {
    private static final int ENOUGH_SAMPLES = 16;
    private static final double MAX_TOKENS = 20;
    private static final double TOKENS_PER_ANSWER = 0.2;
    private static final double TOKENS_PER_MS = 0.001;

    /** Checks the fields. */
    public QueueStatsRow {
        requireNonNull(queue);
    }

    /** Returns the row of a queue of which nothing is known. */
    public static QueueStatsRow of(String queue, long nowMs) {
        return new QueueStatsRow(queue, 0, 0, MAX_TOKENS, nowMs);
    }

    /** Returns whether enough run times were seen to judge by their mean. */
    public boolean hasEnoughSamples() {
        return samples >= ENOUGH_SAMPLES;
    }

    /** Returns whether a retry may be made. */
    public boolean allowsRetry() {
        return retryTokens >= 1;
    }

    /** Returns a copy after a whole answer. */
    public QueueStatsRow withRunTime(long runMs) {
        int seen = Math.min(samples + 1, ENOUGH_SAMPLES);
        double mean = meanRunMs + (runMs - meanRunMs) / seen;
        double tokens = Math.min(MAX_TOKENS, retryTokens + TOKENS_PER_ANSWER);
        return new QueueStatsRow(queue, seen, mean, tokens, refilledMs);
    }

    /** Returns a copy with the tokens that time has brought. */
    public QueueStatsRow withRefilledTokens(long nowMs) {
        double tokens = Math.min(MAX_TOKENS, retryTokens + (nowMs - refilledMs) * TOKENS_PER_MS);
        return new QueueStatsRow(queue, samples, meanRunMs, tokens, nowMs);
    }

    /** Returns a copy after a retry. */
    public QueueStatsRow withRetry() {
        return new QueueStatsRow(queue, samples, meanRunMs, retryTokens - 1, refilledMs);
    }
}
