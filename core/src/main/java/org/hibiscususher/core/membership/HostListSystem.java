package org.hibiscususher.core.membership;

import org.hibiscususher.core.message.Input.HostListRead;
import org.hibiscususher.core.message.Output.ReadHostList;
import org.hibiscususher.core.world.HostListRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/** Reads the platform's list of hosts, the more seldom the longer it is. */
public final class HostListSystem {
    /** Least time between two reads, in milliseconds. */
    private static final int INTERVAL_MS = 2_000;

    /**
     * Time added for each host of the list, in milliseconds; holds a node to some 4 KB a second.
     */
    private static final int INTERVAL_MS_PER_HOST = 15;

    private HostListSystem() {}

    /** Notes the length of new lists and asks for the next one when that is due. */
    public static void run(Tick tick) {
        World world = tick.world();
        for (HostListRead list : tick.inputs(HostListRead.class)) {
            int hosts = list.hosts().size();
            world.hostListTable().update(World.SELF, r -> new HostListRow(r.requestedMs(), hosts));
        }
        HostListRow row = world.hostListTable().find(World.SELF).orElseThrow();
        long intervalMs = INTERVAL_MS + (long) INTERVAL_MS_PER_HOST * row.hostCount();
        boolean due = row.requestedMs() < 0 || tick.nowMs() - row.requestedMs() >= intervalMs;
        if (due && world.node().stage().member()) {
            world.hostListTable().put(World.SELF, new HostListRow(tick.nowMs(), row.hostCount()));
            tick.count("platform.read-hosts");
            tick.emit(new ReadHostList());
        }
    }
}
