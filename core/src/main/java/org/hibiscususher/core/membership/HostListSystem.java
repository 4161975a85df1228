package org.hibiscususher.core.membership;

import org.hibiscususher.core.message.Input.HostListRead;
import org.hibiscususher.core.message.Output.ReadHostList;
import org.hibiscususher.core.world.HostListRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/**
 * Reads the platform's list of hosts at an interval that grows with the length of the list.
 *
 * <p>The platform sends the whole list each time, so a fixed interval would make the traffic grow
 * with the fleet.
 */
public final class HostListSystem {
    /** Least interval between two reads, in milliseconds. */
    private static final int MIN_INTERVAL_MS = 2_000;

    /** Added to the interval for each host, in milliseconds; limits an entry to some 4 KB/s. */
    private static final int INTERVAL_MS_PER_HOST = 15;

    private HostListSystem() {}

    /** Records the length of lists that have arrived, and requests the next one when it is due. */
    public static void run(Tick tick) {
        World world = tick.world();
        for (HostListRead list : tick.inputs(HostListRead.class)) {
            int hosts = list.hosts().size();
            world.hostListTable().update(World.SELF, r -> new HostListRow(r.requestedMs(), hosts));
        }
        HostListRow row = world.hostListTable().find(World.SELF).orElseThrow();
        long intervalMs = MIN_INTERVAL_MS + (long) INTERVAL_MS_PER_HOST * row.hostCount();
        boolean due = row.requestedMs() < 0 || tick.nowMs() - row.requestedMs() >= intervalMs;
        if (due && world.node().stage().member()) {
            world.hostListTable().put(World.SELF, new HostListRow(tick.nowMs(), row.hostCount()));
            tick.count("platform.read-hosts");
            tick.emit(new ReadHostList());
        }
    }
}
