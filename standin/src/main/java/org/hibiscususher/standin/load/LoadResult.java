package org.hibiscususher.standin.load;

import org.HdrHistogram.Histogram;

/**
 * The result of one run.
 *
 * @param answered number of responses with status 200
 * @param failed number of all other requests: other statuses, broken connections, and requests not
 *     sent or not answered when the run ended
 * @param latencyUs latencies of the responses with status 200, in microseconds, from the time when
 *     each request was due; callers must not modify it
 * @param elapsedMs length of the run in milliseconds, the wait for late responses included
 */
record LoadResult(int answered, int failed, Histogram latencyUs, long elapsedMs) {
    /** Returns the responses with status 200 per second. */
    double ratePerS() {
        return answered * 1_000.0 / Math.max(1, elapsedMs);
    }

    /** Returns the line of the report. */
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
