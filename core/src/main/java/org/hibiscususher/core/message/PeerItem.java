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
     * Asks the home of an idempotency key whether the key is new, and claims it.
     *
     * @param requestId the request at the sender
     * @param team the team
     * @param high first 64 bits of the key
     * @param low last 64 bits of the key
     * @param askedMs time of the sender's clock, in milliseconds
     */
    record OnceAsked(long requestId, String team, long high, long low, long askedMs)
            implements PeerItem {}

    /**
     * Answers a claim to an idempotency key.
     *
     * @param incarnation incarnation of the claiming entry
     * @param requestId the request there
     * @param high first 64 bits of the key
     * @param low last 64 bits of the key
     * @param result the answer
     */
    record OnceAnswered(long incarnation, long requestId, long high, long low, ClaimResult result)
            implements PeerItem {}

    /**
     * Tells the home of an idempotency key that the claiming request ended without a run.
     *
     * @param requestId the request at the sender
     * @param team the team
     * @param high first 64 bits of the key
     * @param low last 64 bits of the key
     */
    record OnceReleased(long requestId, String team, long high, long low) implements PeerItem {}

    /**
     * Acknowledges that a claim was released.
     *
     * @param incarnation incarnation of the claiming entry
     * @param requestId the request there
     */
    record OnceForgotten(long incarnation, long requestId) implements PeerItem {}

    /**
     * Tells an entry how much work of a team is running in the whole pool.
     *
     * @param epoch the epoch
     * @param pool the pool
     * @param team the team
     * @param running requests running
     */
    record PoolLoad(long epoch, String pool, String team, int running) implements PeerItem {}
}
