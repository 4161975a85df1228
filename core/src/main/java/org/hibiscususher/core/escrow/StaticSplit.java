package org.hibiscususher.core.escrow;

import java.util.List;
import org.hibiscususher.core.message.Member;
import org.hibiscususher.core.message.PermitKey;
import org.hibiscususher.core.world.HoldingRow;
import org.hibiscususher.core.world.PermitLimitRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/**
 * Splits the permits evenly and permanently among the active members, whatever their demand.
 *
 * <p>This is the baseline that the escrow is measured against.
 */
final class StaticSplit {
    private StaticSplit() {}

    /**
     * Sets this entry's holdings to its shares. Does nothing if this entry is not an active member.
     */
    static void run(Tick tick) {
        World world = tick.world();
        List<String> members =
                world.membership().record().members().stream()
                        .filter(m -> m.state().mayAllocate())
                        .map(Member::id)
                        .toList();
        int index = members.indexOf(world.node().identity().id());
        if (index < 0) {
            return;
        }
        for (PermitLimitRow total : world.permitLimits().rows()) {
            setHeld(world, total.key(), share(total, index, members.size()));
        }
    }

    /**
     * Returns a member's share of the permits of a row.
     *
     * <p>Shares differ by 1 at most. The members that get the larger ones vary with the name of the
     * permits, so that no member gets the larger share of every host.
     *
     * @param index index of the member among the active ones
     */
    private static int share(PermitLimitRow row, int index, int members) {
        int position = Math.floorMod(index + row.key().name().hashCode(), members);
        return row.limit() / members + (position < row.limit() % members ? 1 : 0);
    }

    /** Sets how many permits are held: the share, or more while more are in use. */
    private static void setHeld(World world, PermitKey key, int share) {
        HoldingRow row = world.holdings().find(key).orElse(HoldingRow.none(key));
        int held = Math.max(share, row.inUse());
        if (held != row.held()) {
            world.holdings().put(key, new HoldingRow(key, held, 0, 0, 0, -1, row.inUse()));
        }
    }
}
