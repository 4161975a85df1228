package org.hibiscususher.core.config;

import static java.util.Objects.requireNonNull;

/**
 * Declares a target host.
 *
 * @param id unique name of the host
 * @param address IP address and port, as {@code 127.0.0.1:9000}
 * @param zone availability zone
 * @param rack rack within the zone; empty if not known
 * @param pool id of the pool to which the operators assign the host; it may be lent to another
 * @param slots number of requests that the host can run at a time, 1 or more
 * @param capacity resources that the host is declared to have
 */
public record HostSpec(
        String id,
        String address,
        String zone,
        String rack,
        String pool,
        int slots,
        Capacity capacity) {
    /** Checks that no field is null, and that there is a slot. */
    public HostSpec {
        requireNonNull(id);
        requireNonNull(address);
        requireNonNull(zone);
        requireNonNull(rack);
        requireNonNull(pool);
        requireNonNull(capacity);
        if (slots < 1) {
            throw new IllegalArgumentException("slots of a host must be 1 or more: " + slots);
        }
    }
}
