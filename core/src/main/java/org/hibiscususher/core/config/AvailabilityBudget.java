package org.hibiscususher.core.config;

/**
 * Limits how many hosts of a pool may be out of service at a time, for whatever reason.
 *
 * @param maxUnavailable hosts of the pool, 1 or more
 * @param maxUnavailablePerZone hosts of the pool in one availability zone, 1 or more
 */
public record AvailabilityBudget(int maxUnavailable, int maxUnavailablePerZone) {
    /** One host at a time. */
    public static final AvailabilityBudget ONE_HOST = new AvailabilityBudget(1, 1);

    /** Checks the fields. */
    public AvailabilityBudget {
        if (maxUnavailable < 1 || maxUnavailablePerZone < 1) {
            throw new IllegalArgumentException("a budget below one host can never be met");
        }
    }
}
