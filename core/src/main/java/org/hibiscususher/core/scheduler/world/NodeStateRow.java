package org.hibiscususher.core.scheduler.world;

/**
 * Readiness, store connection and shutdown of this process.
 *
 * @param ready whether the load balancer was last told to send new connections
 * @param storeReachable whether the store was reachable when last reported
 * @param shutdownRequestedMs when the process was asked to stop, in milliseconds of the steady
 *     clock; 0 if it was not
 */
public record NodeStateRow(boolean ready, boolean storeReachable, long shutdownRequestedMs) {}
