package org.hibiscususher.core.scheduler.message;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.hibiscususher.core.scheduler.estimate.RunTimeKey;
import org.hibiscususher.core.scheduler.estimate.RunTimeSample;

/**
 * The durations of finished runs of steps that are alike, as stored.
 *
 * @param key which steps
 * @param samples durations, newest last
 */
public record RunTimeSamples(RunTimeKey key, List<RunTimeSample> samples) {
    /** Rejects null and copies the list. */
    public RunTimeSamples {
        requireNonNull(key);
        samples = List.copyOf(samples);
    }
}
