package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import java.util.Set;
import org.hibiscususher.core.scheduler.message.WaveOrder;

/**
 * A maintenance wave.
 *
 * @param order the order
 * @param firstSeenMs when it was seen
 * @param startedHosts hosts whose maintenance has begun or that are gone
 * @param done whether all hosts have begun
 * @param announced whether operators are told that it runs
 */
public record WaveRow(
        WaveOrder order,
        long firstSeenMs,
        Set<String> startedHosts,
        boolean done,
        boolean announced) {
    /** Checks the parts. */
    public WaveRow {
        requireNonNull(order);
        startedHosts = Set.copyOf(startedHosts);
    }

    /** Returns this wave with more hosts begun. */
    public WaveRow withStartedHosts(Set<String> newStartedHosts) {
        return new WaveRow(order, firstSeenMs, newStartedHosts, done, announced);
    }

    /** Returns this wave, told to operators. */
    public WaveRow asAnnounced() {
        return new WaveRow(order, firstSeenMs, startedHosts, done, true);
    }

    /** Returns this wave with all hosts begun. */
    public WaveRow asDone() {
        return new WaveRow(order, firstSeenMs, startedHosts, true, announced);
    }
}
