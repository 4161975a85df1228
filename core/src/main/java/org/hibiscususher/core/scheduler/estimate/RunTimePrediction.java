package org.hibiscususher.core.scheduler.estimate;

import static java.util.Objects.requireNonNull;

/**
 * What the samples of a key tell of its next runs. Computed when a sample is added, so that a
 * look-up only multiplies.
 *
 * @param source what a run's duration is predicted by
 * @param count number of samples that it rests on
 * @param medianMs median of the durations, in milliseconds
 * @param medianRatio median of the durations as multiples of the declared estimates; 0 if unknown
 * @param spread 95th percentile by median, of the measure that the source uses; at least 1
 */
public record RunTimePrediction(
        EstimateSource source, int count, double medianMs, double medianRatio, double spread) {
    /** Fewest samples from which a prediction departs from the declared estimate. */
    public static final int MIN_SAMPLES = 8;

    /** Prediction of a key without samples. */
    static final RunTimePrediction NONE =
            new RunTimePrediction(EstimateSource.DECLARED, 0, 0, 0, 1);

    /** Part by which a prediction must change to be logged and stored. */
    private static final double NOTABLE_CHANGE = 0.2;

    /** Rejects a null source. */
    public RunTimePrediction {
        requireNonNull(source);
    }

    /** Returns whether enough runs on enough executors have been sampled. */
    public boolean isSupported() {
        return count >= MIN_SAMPLES;
    }

    /**
     * Returns what to expect of a run.
     *
     * @param declaredMs estimate that its step declares, in milliseconds; 0 if unknown
     */
    public RunTimeEstimate estimate(long declaredMs) {
        EstimateSource by = declaredMs <= 0 && isSupported() ? EstimateSource.LEARNED : source;
        return by.estimate(this, declaredMs);
    }

    /** Returns whether this prediction differs from another one by a notable part. */
    public boolean differsNotably(RunTimePrediction other) {
        return source != other.source
                || source != EstimateSource.DECLARED
                        && (isNotable(medianMs, other.medianMs)
                                || isNotable(medianRatio, other.medianRatio));
    }

    private static boolean isNotable(double value, double before) {
        return Math.abs(value - before) > NOTABLE_CHANGE * before;
    }
}
