package org.hibiscususher.core.scheduler.estimate;

import static java.util.Objects.requireNonNull;

/**
 * How long a run is expected to take.
 *
 * @param medianMs duration that half of the runs exceed, in milliseconds; 0 if unknown
 * @param p95Ms duration that one run in twenty exceeds, in milliseconds; 0 if unknown
 * @param source what the expectation goes by
 */
public record RunTimeEstimate(long medianMs, long p95Ms, EstimateSource source) {
    /** Rejects a null source. */
    public RunTimeEstimate {
        requireNonNull(source);
    }

    /** Returns a declared estimate of which nothing else is known. */
    static RunTimeEstimate declared(long declaredMs) {
        return new RunTimeEstimate(declaredMs, declaredMs, EstimateSource.DECLARED);
    }

    /** Returns the estimate with a median and its 95th percentile as a multiple of it. */
    static RunTimeEstimate of(double medianMs, double spread, EstimateSource source) {
        return new RunTimeEstimate(Math.round(medianMs), Math.round(medianMs * spread), source);
    }
}
