package org.hibiscususher.core.scheduler.world;

/**
 * The list of hosts.
 *
 * @param callId reading that is awaited; 0 for none
 * @param sentMs when it was sent
 * @param listedMs when the list last came; 0 for never
 */
public record HostListRow(long callId, long sentMs, long listedMs) {}
