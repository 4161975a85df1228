package org.hibiscususher.core.maintenance;

import org.hibiscususher.core.message.PermitKey;
import org.hibiscususher.core.world.HoldingRow;
import org.hibiscususher.core.world.World;

/** Tells whether a host is idle: whether all its slots are back with their allocator. */
final class SlotsBack {
    private SlotsBack() {}

    /** Returns whether all slots of a host that serves a pool are back. */
    static boolean allBack(World world, String pool, String host) {
        return world.holdings().find(PermitKey.slot(pool, host)).map(HoldingRow::inUse).orElse(0)
                == 0;
    }
}
