package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

/**
 * Readiness, store connection and shutdown of this process.
 *
 * @param ready whether the load balancer was last told to send new connections
 * @param storeReachable whether the store was reachable when last reported
 * @param shutdownRequestedMs when the process was asked to stop, in milliseconds of the steady
 *     clock; 0 if it was not
 * @param connections what happens to the connections of callers
 */
public record NodeStateRow(
        boolean ready,
        boolean storeReachable,
        long shutdownRequestedMs,
        ConnectionStage connections) {
    /** The state of a process that has just started. */
    public static final NodeStateRow INITIAL =
            new NodeStateRow(false, true, 0, ConnectionStage.OPEN);

    /** Rejects nulls. */
    public NodeStateRow {
        requireNonNull(connections);
    }

    /** Returns whether the process was asked to stop. */
    public boolean isStopping() {
        return shutdownRequestedMs != 0;
    }

    /** Returns this state with another readiness. */
    public NodeStateRow withReady(boolean newReady) {
        return new NodeStateRow(newReady, storeReachable, shutdownRequestedMs, connections);
    }

    /** Returns this state with another reachability of the store. */
    public NodeStateRow withStoreReachable(boolean reachable) {
        return new NodeStateRow(ready, reachable, shutdownRequestedMs, connections);
    }

    /** Returns this state after a request to stop. */
    public NodeStateRow withShutdownRequested(long nowMs) {
        return new NodeStateRow(ready, storeReachable, nowMs, connections);
    }

    /** Returns this state with the connections of callers in another stage. */
    public NodeStateRow withConnections(ConnectionStage stage) {
        return new NodeStateRow(ready, storeReachable, shutdownRequestedMs, stage);
    }
}
