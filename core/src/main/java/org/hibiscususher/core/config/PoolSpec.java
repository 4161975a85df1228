package org.hibiscususher.core.config;

import static java.util.Objects.requireNonNull;

/**
 * Declares a pool of hosts.
 *
 * @param id unique name of the pool
 * @param quickReserve number of slots that long work must leave free, 0 or more
 * @param budget limits how many hosts may be out of service at a time
 * @param spare whether other pools may borrow hosts from this one
 */
public record PoolSpec(String id, int quickReserve, AvailabilityBudget budget, boolean spare) {
    /** Checks that no field is null, and that the reserve is not negative. */
    public PoolSpec {
        requireNonNull(id);
        requireNonNull(budget);
        if (quickReserve < 0) {
            throw new IllegalArgumentException(
                    "quick reserve of a pool must be 0 or more: " + quickReserve);
        }
    }
}
