package org.hibiscususher.core.job;

import static java.util.Objects.requireNonNull;

/**
 * A pool of executors.
 *
 * @param name name
 * @param enforcesCapacity whether executors themselves reject what doesn't fit
 * @param spare whether the pool's hosts are switched off until they are moved elsewhere
 */
public record JobPool(String name, boolean enforcesCapacity, boolean spare) {
    /** Checks the parts. */
    public JobPool {
        requireNonNull(name);
    }
}
