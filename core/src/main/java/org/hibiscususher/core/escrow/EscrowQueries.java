package org.hibiscususher.core.escrow;

import org.hibiscususher.core.message.PermitKey;
import org.hibiscususher.core.world.World;

/** Queries about permits for other packages. */
public final class EscrowQueries {
    private EscrowQueries() {}

    /**
     * Returns whether a recalled host is idle: all its slots have been returned to the allocator of
     * its pool.
     *
     * <p>True only on that allocator, once every member that may hold permits has sent its claim,
     * none holds a slot of the host, and the slots of dead members have been reclaimed. False while
     * the host accepts work, and for an unknown host.
     */
    public static boolean allSlotsReturned(World world, String host) {
        return world.hosts()
                .find(host)
                .map(h -> AllocatorTerms.allReturned(world, PermitKey.slot(h.pool(), host)))
                .orElse(false);
    }
}
