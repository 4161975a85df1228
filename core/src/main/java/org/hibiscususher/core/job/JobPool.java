package org.hibiscususher.core.job;

import static java.util.Objects.requireNonNull;

/**
 * A pool of executors.
 *
 * @param name pool name
 * @param enforcesCapacity whether its executors reject runs that exceed their capacity
 * @param spare whether its hosts are switched off until they are moved to another pool
 */
public record JobPool(String name, boolean enforcesCapacity, boolean spare) {
    /** Rejects null components. */
    public JobPool {
        requireNonNull(name);
    }
}
