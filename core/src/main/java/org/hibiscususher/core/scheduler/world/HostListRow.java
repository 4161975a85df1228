package org.hibiscususher.core.scheduler.world;

/**
 * The state of the periodic listing of hosts. Times are milliseconds of the steady clock.
 *
 * @param callId id of the listing in flight; 0 for none
 * @param sentMs when a listing was last requested; 0 for never
 * @param listedMs when a list last arrived; 0 for never
 */
public record HostListRow(long callId, long sentMs, long listedMs) {}
