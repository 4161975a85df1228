package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import java.util.Set;
import org.hibiscususher.core.scheduler.message.WaveOrder;

/**
 * A maintenance wave.
 *
 * @param order the operators' order
 * @param firstSeenMs when the order was first seen, in milliseconds of the steady clock
 * @param startedHosts ids of the hosts whose maintenance has started, or of which the platform says
 *     that it can't
 * @param done whether all hosts have been maintained, but for those that can't be
 * @param announced whether a status for operators shows that the wave is running
 */
public record WaveRow(
        WaveOrder order,
        long firstSeenMs,
        Set<String> startedHosts,
        boolean done,
        boolean announced) {
    /** Rejects null components and copies the set. */
    public WaveRow {
        requireNonNull(order);
        startedHosts = Set.copyOf(startedHosts);
    }

    /** Returns this wave with another set of started hosts. */
    public WaveRow withStartedHosts(Set<String> newStartedHosts) {
        return new WaveRow(order, firstSeenMs, newStartedHosts, done, announced);
    }

    /** Returns this wave with its running status announced to operators. */
    public WaveRow asAnnounced() {
        return new WaveRow(order, firstSeenMs, startedHosts, done, true);
    }

    /** Returns this wave, completed. */
    public WaveRow asDone() {
        return new WaveRow(order, firstSeenMs, startedHosts, true, announced);
    }
}
