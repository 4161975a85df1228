package org.hibiscususher.core.config;

import static java.util.Objects.requireNonNull;

/**
 * Declares a target host.
 *
 * @param id unique name
 * @param address IP number and port, as {@code 127.0.0.1:9000}
 * @param zone availability zone
 * @param rack rack within the zone; empty if not known
 * @param pool the pool that the operators want the host in
 * @param slots how many requests its executor runs at a time, 1 or more
 * @param capacity declared resources
 */
public record HostSpec(
        String id,
        String address,
        String zone,
        String rack,
        String pool,
        int slots,
        Capacity capacity) {
    /** Checks the fields. */
    public HostSpec {
        requireNonNull(id);
        requireNonNull(address);
        requireNonNull(zone);
        requireNonNull(rack);
        requireNonNull(pool);
        requireNonNull(capacity);
        if (slots < 1) {
            throw new IllegalArgumentException("slots: " + slots);
        }
    }
}
