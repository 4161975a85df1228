package org.hibiscususher.daemon.control;

/**
 * Carries out outputs of ticks. Called on the control thread; must not block.
 *
 * @param <O> the type of the outputs
 */
@FunctionalInterface
public interface OutputHandler<O> {
    /** Carries out one output. */
    void handle(O output);
}
