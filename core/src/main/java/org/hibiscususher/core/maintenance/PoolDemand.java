package org.hibiscususher.core.maintenance;

import org.hibiscususher.core.message.PermitGroup;
import org.hibiscususher.core.message.TeamDemand;
import org.hibiscususher.core.world.DemandRow;
import org.hibiscususher.core.world.World;

/** Tells how much work a pool has, on the pool's allocator. */
final class PoolDemand {
    private PoolDemand() {}

    /** Returns the requests of a pool that wait or run, as the entries last reported. */
    static int requests(World world, String pool) {
        int count = 0;
        for (DemandRow row : world.demands().group(PermitGroup.pool(pool))) {
            for (TeamDemand team : row.teams()) {
                count += team.quickWaiting() + team.quickRunning();
                count += team.longWaiting() + team.longRunning();
            }
        }
        return count;
    }
}
