package org.hibiscususher.core.config;

import static java.util.Objects.requireNonNull;

/**
 * Declares a pool of hosts.
 *
 * @param id unique name
 * @param quickReserve slots of the pool that long work may not take, 0 or more
 * @param budget how many hosts may be out of service at a time
 * @param spare whether other pools may borrow hosts from this one
 */
public record PoolSpec(String id, int quickReserve, AvailabilityBudget budget, boolean spare) {
    /** Checks the fields. */
    public PoolSpec {
        requireNonNull(id);
        requireNonNull(budget);
        if (quickReserve < 0) {
            throw new IllegalArgumentException("quickReserve: " + quickReserve);
        }
    }
}
