package org.hibiscususher.standin.load;

import org.HdrHistogram.Histogram;

/**
 * What a run has shown.
 *
 * @param answered answers with status 200
 * @param failed other answers and broken connections
 * @param latencyUs latencies of the answers in microseconds, from the time when each request was
 *     due; must not be changed
 * @param elapsedMs length of the run in milliseconds
 */
record LoadResult(int answered, int failed, Histogram latencyUs, long elapsedMs) {
    double ratePerS() {
        return answered * 1_000.0 / Math.max(1, elapsedMs);
    }

    String text() {
        return String.format(
                "answered=%d failed=%d rate=%.0f/s p50=%dus p99=%dus p99.9=%dus",
                answered,
                failed,
                ratePerS(),
                latencyUs.getValueAtPercentile(50),
                latencyUs.getValueAtPercentile(99),
                latencyUs.getValueAtPercentile(99.9));
    }
}
