package org.hibiscususher.core.world;

/**
 * What this entry knows of its reads of the platform's list of hostCount.
 *
 * @param requestedMs when it last asked, in milliseconds of the caller's clock, -1 if never
 * @param hostCount length of the newest list
 */
public record HostListRow(long requestedMs, int hostCount) {
    /** The row before the first read. */
    public static final HostListRow NONE = new HostListRow(-1, 0);
}
