package org.hibiscususher.core.maintenance;

import org.hibiscususher.core.world.RequestRow;
import org.hibiscususher.core.world.World;

/** Tells how much work a pool has. */
final class PoolDemand {
    private PoolDemand() {}

    /** Returns the requests of a pool that wait or run, as far as this entry knows. */
    static int of(World world, String pool) {
        int count = 0;
        for (RequestRow row : world.requests().rows()) {
            count += row.pool().equals(pool) ? 1 : 0;
        }
        return count;
    }
}
