package org.hibiscususher.core.escrow;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.config.PoolSpec;
import org.hibiscususher.core.config.QueueKind;
import org.hibiscususher.core.config.TeamSpec;
import org.hibiscususher.core.message.Member;
import org.hibiscususher.core.message.PermitKey;
import org.hibiscususher.core.world.HoldingRow;
import org.hibiscususher.core.world.HostRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/** Splits every kind of permit evenly and for good among the members that take work. */
public final class EscrowSystem {
    private EscrowSystem() {}

    /** Brings this entry's holdings in line with its part of each split. */
    public static void run(Tick tick) {
        World world = tick.world();
        List<Member> members =
                world.membership().record().members().stream()
                        .filter(m -> m.state().allocates())
                        .toList();
        int index = -1;
        for (int i = 0; i < members.size(); i++) {
            if (members.get(i).id().equals(world.node().identity().id())) {
                index = i;
            }
        }
        if (index < 0) {
            world.holdings().removeIf(h -> h.inUse() == 0);
            return;
        }
        Set<PermitKey> wanted = new HashSet<>();
        Configuration configuration = world.configuration();
        for (HostRow host : world.hosts().rows()) {
            PermitKey key = PermitKey.slot(host.pool(), host.spec().id());
            wanted.add(key);
            hold(tick, key, part(host.spec().slots(), index, members.size(), key));
        }
        for (TeamSpec team : configuration.teams().values()) {
            PermitKey key = PermitKey.unit(team.id());
            wanted.add(key);
            hold(tick, key, part(team.upperLimit(), index, members.size(), key));
        }
        for (PoolSpec pool : configuration.pools().values()) {
            PermitKey key = PermitKey.longRun(pool.id());
            wanted.add(key);
            int open = QueueKind.LONG.slotsOpen(slotsOf(world, pool.id()), pool.quickReserve());
            hold(tick, key, part(open, index, members.size(), key));
        }
        world.holdings().removeIf(h -> !wanted.contains(h.key()) && h.inUse() == 0);
    }

    private static int slotsOf(World world, String pool) {
        return world.hosts().rows().stream()
                .filter(h -> h.pool().equals(pool))
                .mapToInt(h -> h.spec().slots())
                .sum();
    }

    private static int part(int total, int index, int members, PermitKey key) {
        int turn = Math.floorMod(index + key.name().hashCode(), members);
        return total / members + (turn < total % members ? 1 : 0);
    }

    private static void hold(Tick tick, PermitKey key, int part) {
        HoldingRow row =
                tick.world().holdings().find(key).orElse(new HoldingRow(key, 0, 0, 0, 0, 0));
        int granted = Math.max(part, row.inUse());
        if (granted != row.granted()) {
            tick.world().holdings().put(key, new HoldingRow(key, 0, granted, 0, row.inUse(), part));
        } else {
            tick.world().holdings().put(key, row);
        }
    }
}
