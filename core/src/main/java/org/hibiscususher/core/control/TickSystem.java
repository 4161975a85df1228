package org.hibiscususher.core.control;

import org.hibiscususher.core.world.Tick;

/** A system that each tick runs over the tables. */
@FunctionalInterface
interface TickSystem {
    /** Runs the system once. */
    void run(Tick tick);
}
