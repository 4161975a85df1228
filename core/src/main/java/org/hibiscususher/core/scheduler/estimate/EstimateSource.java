package org.hibiscususher.core.scheduler.estimate;

/** What the expected duration of a run goes by. */
public enum EstimateSource {
    /** The estimate as submitted. */
    DECLARED {
        @Override
        RunTimeEstimate estimate(RunTimePrediction prediction, long declaredMs) {
            return RunTimeEstimate.of(declaredMs, prediction.spread(), this);
        }
    },
    /** The durations of earlier runs. */
    LEARNED {
        @Override
        RunTimeEstimate estimate(RunTimePrediction prediction, long declaredMs) {
            return RunTimeEstimate.of(prediction.medianMs(), prediction.spread(), this);
        }
    },
    /** The estimate as submitted, times the ratio by which earlier runs differed from theirs. */
    CORRECTED {
        @Override
        RunTimeEstimate estimate(RunTimePrediction prediction, long declaredMs) {
            return RunTimeEstimate.of(
                    declaredMs * prediction.medianRatio(), prediction.spread(), this);
        }
    };

    /** Returns what to expect of a run whose step declares the given estimate. */
    abstract RunTimeEstimate estimate(RunTimePrediction prediction, long declaredMs);
}
