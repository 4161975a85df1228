package org.hibiscususher.daemon.control;

import org.hibiscususher.core.message.Output;

/** Carries out outputs of ticks. Called on the control thread; must not block. */
@FunctionalInterface
public interface OutputHandler {
    /** Carries out one output. */
    void handle(Output output);
}
