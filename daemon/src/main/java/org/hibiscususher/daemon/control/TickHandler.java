package org.hibiscususher.daemon.control;

import java.util.List;

/**
 * Control state that changes only in ticks, each of which turns inputs into outputs.
 *
 * @param <I> type of the inputs
 * @param <O> type of the outputs
 */
@FunctionalInterface
public interface TickHandler<I, O> {
    /**
     * Runs one tick.
     *
     * @param nowMs time of the control thread's clock, in milliseconds; never decreases
     * @param inputs events since the last tick, in the order in which they arrived
     * @return actions to carry out, in order
     */
    List<O> tick(long nowMs, List<I> inputs);
}
