package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

/**
 * A host for which an owner may have given orders of late.
 *
 * @param host host
 * @param recorded whether the store names it among the hosts with orders
 * @param notBeforeMs before when no order is given: an earlier owner may have given one just
 *     before, or the host was busy
 * @param usedMs when an order was last prepared, given or given up
 */
public record HostOrderRow(String host, boolean recorded, long notBeforeMs, long usedMs) {
    /** Checks the parts. */
    public HostOrderRow {
        requireNonNull(host);
    }

    /** Returns this row with the store naming the host. */
    public HostOrderRow asRecorded() {
        return new HostOrderRow(host, true, notBeforeMs, usedMs);
    }

    /** Returns this row, used at a later time. */
    public HostOrderRow withUsedAt(long nowMs) {
        return new HostOrderRow(host, recorded, notBeforeMs, nowMs);
    }
}
