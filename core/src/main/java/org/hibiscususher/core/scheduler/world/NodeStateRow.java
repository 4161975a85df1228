package org.hibiscususher.core.scheduler.world;

/**
 * What the process tells the balancer and whether it stops.
 *
 * @param ready what the balancer was last told
 * @param storeReachable whether the store was reached last
 * @param shutdownRequestedMs when the process was asked to stop; 0 if it was not
 */
public record NodeStateRow(boolean ready, boolean storeReachable, long shutdownRequestedMs) {}
