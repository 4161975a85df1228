package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

/**
 * A host that this owner or an earlier one may have ordered to move or into maintenance recently.
 *
 * <p>Two successive owners must not both order the same host within a short time. The store
 * therefore names a host before its first order is sent, and a new owner waits before it orders a
 * host that the store names. Times are milliseconds of the steady clock.
 *
 * @param host host id
 * @param recorded whether the store names it among the hosts with orders
 * @param notBeforeMs earliest time of the next order, later than now if an earlier owner may just
 *     have sent one or the host was busy
 * @param usedMs when an order was last prepared, sent or abandoned
 */
public record HostOrderRow(String host, boolean recorded, long notBeforeMs, long usedMs) {
    /** Rejects null components. */
    public HostOrderRow {
        requireNonNull(host);
    }

    /** Returns this row with the host named in the store. */
    public HostOrderRow asRecorded() {
        return new HostOrderRow(host, true, notBeforeMs, usedMs);
    }

    /** Returns this row, last used at the given time. */
    public HostOrderRow withUsedAt(long nowMs) {
        return new HostOrderRow(host, recorded, notBeforeMs, nowMs);
    }
}
