package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import java.util.Set;
import org.hibiscususher.core.scheduler.message.WaveOrder;

/**
 * A maintenance wave.
 *
 * @param order the order
 * @param seenMs when it was seen
 * @param begun hosts whose maintenance has begun or that are gone
 * @param done whether all hosts have begun
 * @param announced whether operators are told that it runs
 */
public record WaveRow(
        WaveOrder order, long seenMs, Set<String> begun, boolean done, boolean announced) {
    /** Checks the parts. */
    public WaveRow {
        requireNonNull(order);
        begun = Set.copyOf(begun);
    }

    /** Returns this wave with more hosts begun. */
    public WaveRow withBegun(Set<String> newBegun) {
        return new WaveRow(order, seenMs, newBegun, done, announced);
    }

    /** Returns this wave, told to operators. */
    public WaveRow asAnnounced() {
        return new WaveRow(order, seenMs, begun, done, true);
    }

    /** Returns this wave with all hosts begun. */
    public WaveRow asDone() {
        return new WaveRow(order, seenMs, begun, true, announced);
    }
}
