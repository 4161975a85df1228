package org.hibiscususher.core.escrow;

import org.hibiscususher.core.message.PermitKey;
import org.hibiscususher.core.world.World;

/** Answers questions of other parts about permits. */
public final class EscrowQueries {
    private EscrowQueries() {}

    /**
     * Returns whether a host that was recalled is idle: all its slots are back with its pool's
     * allocator.
     *
     * <p>True only on that allocator, once every member that may hold has answered it and nothing
     * is held, in doubt or resting. False while the host takes work.
     */
    public static boolean allSlotsReturned(World world, String host) {
        return world.hosts()
                .find(host)
                .map(h -> Tenures.allReturned(world, PermitKey.slot(h.pool(), host)))
                .orElse(false);
    }
}
