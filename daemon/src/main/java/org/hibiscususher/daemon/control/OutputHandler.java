package org.hibiscususher.daemon.control;

/**
 * Carries out the outputs of ticks.
 *
 * <p>Called on the control thread; must not block, since that would delay the next tick.
 *
 * @param <O> type of the outputs
 */
@FunctionalInterface
public interface OutputHandler<O> {
    /** Carries out one output, or starts it if it takes long. */
    void handle(O output);
}
