package org.hibiscususher.core.scheduler.estimate;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/** Computes predictions from samples. */
public final class RunTimeStatistics {
    /** Part of the samples that may come from one executor, as a divisor. */
    public static final int EXECUTOR_PART = 4;

    /** Range of the median ratio within which the declared estimate holds. */
    private static final double MIN_HELD_RATIO = 2.0 / 3;

    private static final double MAX_HELD_RATIO = 3.0 / 2;

    private static final int P95 = 95;
    private static final int FULL_PERCENT = 100;

    private RunTimeStatistics() {}

    /**
     * Returns the prediction of some samples, of which at most a quarter from one executor count,
     * the newest first. So no executor alone can move it, however many runs it reports.
     *
     * @param samples samples, newest last
     */
    public static RunTimePrediction predict(List<RunTimeSample> samples) {
        List<RunTimeSample> counted = limitByExecutor(samples);
        if (counted.isEmpty()) {
            return RunTimePrediction.NONE;
        }
        double[] durations = sorted(counted, s -> true, RunTimeSample::durationMs);
        double[] ratios = sorted(counted, RunTimeSample::hasRatio, RunTimeSample::ratio);
        double durationSpread = spread(durations);
        double ratioSpread = spread(ratios);
        EstimateSource source = source(durations, ratios);
        return new RunTimePrediction(
                source,
                counted.size(),
                median(durations),
                median(ratios),
                source == EstimateSource.LEARNED ? durationSpread : ratioSpread);
    }

    /**
     * Returns what predicts best. The declared estimate counts on a tie, since it may tell a new
     * job from earlier ones.
     */
    private static EstimateSource source(double[] durations, double[] ratios) {
        if (durations.length < RunTimePrediction.MIN_SAMPLES) {
            return EstimateSource.DECLARED;
        }
        if (ratios.length < RunTimePrediction.MIN_SAMPLES) {
            return EstimateSource.LEARNED;
        }
        double ratio = median(ratios);
        if (ratio >= MIN_HELD_RATIO && ratio <= MAX_HELD_RATIO) {
            return EstimateSource.DECLARED;
        }
        return spread(durations) < spread(ratios)
                ? EstimateSource.LEARNED
                : EstimateSource.CORRECTED;
    }

    /**
     * Returns the newest samples of each executor, so many that none has more than a quarter; empty
     * if fewer than four executors have any.
     */
    private static List<RunTimeSample> limitByExecutor(List<RunTimeSample> samples) {
        Map<String, Integer> counts = new HashMap<>();
        samples.forEach(s -> counts.merge(s.executor(), 1, Integer::sum));
        int limit = samples.size() / EXECUTOR_PART;
        while (limit > 0 && totalWithin(counts, limit) < EXECUTOR_PART * limit) {
            limit--;
        }
        int perExecutor = limit;
        // Counts down to the newest samples of each executor.
        return samples.stream()
                .filter(s -> counts.merge(s.executor(), -1, Integer::sum) < perExecutor)
                .toList();
    }

    private static int totalWithin(Map<String, Integer> counts, int limit) {
        return counts.values().stream().mapToInt(n -> Math.min(n, limit)).sum();
    }

    private static double[] sorted(
            List<RunTimeSample> samples,
            Predicate<RunTimeSample> filter,
            ToDoubleFunction<RunTimeSample> measure) {
        double[] values = samples.stream().filter(filter).mapToDouble(measure).toArray();
        Arrays.sort(values);
        return values;
    }

    private static double median(double[] sorted) {
        int middle = sorted.length / 2;
        if (sorted.length == 0) {
            return 0;
        }
        return sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
    }

    /**
     * Returns the 95th percentile divided by the median. The rank is rounded down, so that a single
     * outlier is never the percentile itself.
     */
    private static double spread(double[] sorted) {
        if (sorted.length == 0) {
            return 1;
        }
        double p95 = sorted[(sorted.length - 1) * P95 / FULL_PERCENT];
        return Math.max(1, p95 / median(sorted));
    }
}
