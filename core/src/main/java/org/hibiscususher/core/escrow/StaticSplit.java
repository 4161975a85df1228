package org.hibiscususher.core.escrow;

import java.util.List;
import org.hibiscususher.core.message.Member;
import org.hibiscususher.core.message.PermitKey;
import org.hibiscususher.core.world.HoldingRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.TotalRow;
import org.hibiscususher.core.world.World;

/** Splits every kind of permit evenly and for good among the members that take work. */
final class StaticSplit {
    private StaticSplit() {}

    /** Brings this entry's holdings in line with its part of each split. */
    static void run(Tick tick) {
        World world = tick.world();
        List<String> members =
                world.membership().record().members().stream()
                        .filter(m -> m.state().allocates())
                        .map(Member::id)
                        .toList();
        int index = members.indexOf(world.node().identity().id());
        if (index < 0) {
            return;
        }
        for (TotalRow total : world.totals().rows()) {
            setHeld(world, total.key(), share(total, index, members.size()));
        }
    }

    private static int share(TotalRow row, int index, int members) {
        int turn = Math.floorMod(index + row.key().name().hashCode(), members);
        return row.total() / members + (turn < row.total() % members ? 1 : 0);
    }

    private static void setHeld(World world, PermitKey key, int part) {
        HoldingRow row = world.holdings().find(key).orElse(HoldingRow.none(key));
        int held = Math.max(part, row.inUse());
        if (held != row.held()) {
            world.holdings().put(key, new HoldingRow(key, held, 0, 0, 0, -1, row.inUse()));
        }
    }
}
