package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.scheduler.estimate.RunTimeKey;
import org.hibiscususher.core.scheduler.estimate.RunTimePrediction;
import org.hibiscususher.core.scheduler.estimate.RunTimeSample;
import org.hibiscususher.core.scheduler.estimate.RunTimeStatistics;

/**
 * The last run times of steps that are alike.
 *
 * @param key which steps
 * @param samples durations of finished runs, newest last
 * @param prediction what they tell of the next runs
 * @param published prediction last logged and queued for the store
 * @param sampledMs when the last one was added, in milliseconds of the steady clock
 */
public record RunTimeRow(
        RunTimeKey key,
        List<RunTimeSample> samples,
        RunTimePrediction prediction,
        RunTimePrediction published,
        long sampledMs) {
    /** Most samples in a row. More would show a change of behavior later. */
    public static final int MAX_SAMPLES = 32;

    /** Most samples from one executor. */
    private static final int MAX_OF_EXECUTOR = MAX_SAMPLES / RunTimeStatistics.EXECUTOR_PART;

    /** Rejects null components and copies the list. */
    public RunTimeRow {
        requireNonNull(key);
        requireNonNull(prediction);
        requireNonNull(published);
        samples = List.copyOf(samples);
    }

    /** Returns the row with the given samples, newest last, with its prediction as published. */
    public static RunTimeRow of(RunTimeKey key, List<RunTimeSample> samples, long sampledMs) {
        RunTimePrediction prediction = RunTimeStatistics.predict(samples);
        return new RunTimeRow(key, samples, prediction, prediction, sampledMs);
    }

    /** Returns this row with its prediction published. */
    public RunTimeRow asPublished() {
        return new RunTimeRow(key, samples, prediction, prediction, sampledMs);
    }

    /** Returns this row with another sample, in place of the oldest one if there is no room. */
    public RunTimeRow with(RunTimeSample sample, long nowMs) {
        List<RunTimeSample> next = new ArrayList<>(samples);
        next.add(sample);
        long ofExecutor = next.stream().filter(s -> s.executor().equals(sample.executor())).count();
        if (ofExecutor > MAX_OF_EXECUTOR) {
            next.remove(oldestOf(sample.executor()));
        } else if (next.size() > MAX_SAMPLES) {
            next.remove(0);
        }
        return new RunTimeRow(key, next, RunTimeStatistics.predict(next), published, nowMs);
    }

    private int oldestOf(String executor) {
        int i = 0;
        while (!samples.get(i).executor().equals(executor)) {
            i++;
        }
        return i;
    }

    /** Returns what the samples from all other executors tell. */
    public RunTimePrediction predictionWithout(String executor) {
        return RunTimeStatistics.predict(
                samples.stream().filter(s -> !s.executor().equals(executor)).toList());
    }
}
