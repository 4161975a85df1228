package org.hibiscususher.core.scheduler.estimate;

import static java.util.Objects.requireNonNull;

/**
 * The duration of a finished run.
 *
 * @param executor id of the executor
 * @param durationMs time from the answer to its start order to the report of its end, in
 *     milliseconds, at least 1
 * @param declaredMs estimate that its step declares, in milliseconds; 0 if unknown
 */
public record RunTimeSample(String executor, long durationMs, long declaredMs) {
    /** Rejects a null executor, and keeps the duration at 1 ms or more. */
    public RunTimeSample {
        requireNonNull(executor);
        durationMs = Math.max(1, durationMs);
        declaredMs = Math.max(0, declaredMs);
    }

    /** Returns whether the duration can be compared with a declared estimate. */
    boolean hasRatio() {
        return declaredMs > 0;
    }

    /** Returns the duration as a multiple of the declared estimate. */
    double ratio() {
        return (double) durationMs / declaredMs;
    }
}
