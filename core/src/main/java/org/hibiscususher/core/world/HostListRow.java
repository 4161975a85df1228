package org.hibiscususher.core.world;

/**
 * The state of this entry's reads of the platform's list of hosts.
 *
 * @param requestedMs when a read was last requested, in milliseconds of the tick clock, -1 if never
 * @param hostCount number of hosts in the newest list
 */
public record HostListRow(long requestedMs, int hostCount) {
    /** The row before the first read. */
    public static final HostListRow NONE = new HostListRow(-1, 0);
}
