package org.hibiscususher.core.scheduler.world;

/**
 * The times of the last tick, to notice that the process was suspended.
 *
 * @param nowMs milliseconds of the steady clock
 * @param wallMs milliseconds since the epoch
 */
public record LastTickRow(long nowMs, long wallMs) {}
