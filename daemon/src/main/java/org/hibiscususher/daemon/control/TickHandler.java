package org.hibiscususher.daemon.control;

import java.util.List;

/**
 * Control state that runs in ticks.
 *
 * @param <I> the type of the inputs
 * @param <O> the type of the outputs
 */
@FunctionalInterface
public interface TickHandler<I, O> {
    /**
     * Runs every system once.
     *
     * @param nowMs milliseconds of the control thread's clock; never decreases
     * @param inputs what happened since the last tick, in order
     * @return what is to be done, in order
     */
    List<O> tick(long nowMs, List<I> inputs);
}
