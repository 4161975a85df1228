package org.hibiscususher.core.config;

/**
 * Limits how many hosts of a pool may be out of service at a time, for whatever reason.
 *
 * @param maxUnavailable most hosts out of service in the whole pool, 1 or more
 * @param maxUnavailablePerZone most hosts out of service in one availability zone, 1 or more
 */
public record AvailabilityBudget(int maxUnavailable, int maxUnavailablePerZone) {
    /** Allows one host out of service at a time. */
    public static final AvailabilityBudget ONE_HOST = new AvailabilityBudget(1, 1);

    /** Checks that both limits are 1 or more; with 0, no host could ever be maintained. */
    public AvailabilityBudget {
        if (maxUnavailable < 1 || maxUnavailablePerZone < 1) {
            throw new IllegalArgumentException(
                    "an availability budget must allow one host or more");
        }
    }
}
