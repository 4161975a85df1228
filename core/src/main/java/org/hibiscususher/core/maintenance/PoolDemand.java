package org.hibiscususher.core.maintenance;

import org.hibiscususher.core.message.PermitGroup;
import org.hibiscususher.core.message.TeamDemand;
import org.hibiscususher.core.world.MemberDemandRow;
import org.hibiscususher.core.world.World;

/** The demand for a pool as known to the pool's allocator. */
final class PoolDemand {
    private PoolDemand() {}

    /**
     * Returns how many requests of a pool wait or run, by the entries' last reports; 0 on an entry
     * that is not the pool's allocator.
     */
    static int requests(World world, String pool) {
        int count = 0;
        for (MemberDemandRow row : world.memberDemands().group(PermitGroup.pool(pool))) {
            for (TeamDemand team : row.teams()) {
                count += team.quickWaiting() + team.quickRunning();
                count += team.longWaiting() + team.longRunning();
            }
        }
        return count;
    }
}
