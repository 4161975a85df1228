package org.hibiscususher.core.scheduler.world;

/**
 * The times of the previous tick.
 *
 * <p>If the wall clock has advanced further since then than the steady clock, the process was
 * suspended, and its leases may have expired without its noticing.
 *
 * @param nowMs milliseconds of the steady clock
 * @param wallMs milliseconds since the epoch; 0 before the first tick
 */
public record LastTickRow(long nowMs, long wallMs) {}
