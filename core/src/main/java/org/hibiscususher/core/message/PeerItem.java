package org.hibiscususher.core.message;

import org.hibiscususher.core.config.Configuration;

/** One thing that an entry tells another. */
public sealed interface PeerItem {
    /**
     * Relays the configuration in force.
     *
     * @param configuration the configuration
     */
    record Relay(Configuration configuration) implements PeerItem {}

    /**
     * Tells the permits' allocator how many of its grants have come back in all.
     *
     * @param epoch the epoch of the grants
     * @param permit the permits
     * @param returned count since the epoch began; only grows
     */
    record Returned(long epoch, PermitKey permit, long returned) implements PeerItem {}

    /**
     * Tells an entry how many permits it has been granted in all.
     *
     * @param epoch the epoch of the grants
     * @param permit the permits
     * @param granted count since the epoch began; only grows
     * @param target how many the entry shall keep; it returns idle ones above that
     */
    record Granted(long epoch, PermitKey permit, long granted, int target) implements PeerItem {}

    /**
     * Tells the allocator of a pool how much work of a team and kind an entry has at hand.
     *
     * @param epoch the epoch
     * @param pool the pool
     * @param team the team
     * @param kind the kind of queue
     * @param waiting requests waiting
     * @param running requests running
     */
    record Demand(
            long epoch,
            String pool,
            String team,
            org.hibiscususher.core.config.QueueKind kind,
            int waiting,
            int running)
            implements PeerItem {}

    /**
     * Tells an entry how much work of a team is running in the whole pool.
     *
     * @param epoch the epoch
     * @param pool the pool
     * @param team the team
     * @param running requests running
     */
    record PoolLoad(long epoch, String pool, String team, int running) implements PeerItem {}

    /**
     * Relays a record about hosts.
     *
     * @param record the record
     */
    record FleetRelay(FleetRecord record) implements PeerItem {}

    /**
     * Tells the allocators of spare pools how many hosts a pool is short of.
     *
     * @param pool the pool
     * @param hosts how many hosts it is short of; negative if it has more than it needs
     */
    record PoolNeed(String pool, int hosts) implements PeerItem {}
}
