package org.hibiscususher.core.escrow;

import java.util.LinkedHashMap;
import java.util.Map;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.config.PoolSpec;
import org.hibiscususher.core.config.QueueKind;
import org.hibiscususher.core.config.QueueSpec;
import org.hibiscususher.core.config.TeamSpec;
import org.hibiscususher.core.message.PermitGroup;
import org.hibiscususher.core.message.PermitKey;
import org.hibiscususher.core.world.EscrowRow;
import org.hibiscususher.core.world.HostRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.TotalRow;
import org.hibiscususher.core.world.World;

/** Derives how many permits there may be from the configuration and the hosts in service. */
final class PermitLimits {
    private PermitLimits() {}

    /** Brings the limits up to date and returns whether anything they derive from has changed. */
    static boolean update(Tick tick) {
        World world = tick.world();
        EscrowRow row = world.escrow();
        Configuration configuration = world.configuration();
        if (row.revision() == configuration.revision()
                && row.hostsVersion() == world.hosts().version()) {
            return false;
        }
        int longest = row.longestRunMs();
        for (QueueSpec queue : configuration.queues().values()) {
            longest = Math.max(longest, queue.longestRunMs());
        }
        world.escrowTable()
                .put(
                        World.SELF,
                        new EscrowRow(
                                row.epoch(),
                                configuration.revision(),
                                world.hosts().version(),
                                longest));
        Map<PermitKey, Integer> limits = limits(world, configuration);
        for (TotalRow total : world.totals().rows()) {
            limits.putIfAbsent(total.key(), 0);
        }
        limits.forEach((key, limit) -> setLimit(world, key, limit));
        return true;
    }

    private static Map<PermitKey, Integer> limits(World world, Configuration configuration) {
        Map<PermitKey, Integer> limits = new LinkedHashMap<>();
        Map<String, Integer> slots = new LinkedHashMap<>();
        for (HostRow host : world.hosts().rows()) {
            int open = host.stage().takesWork() ? host.spec().slots() : 0;
            limits.put(PermitKey.slot(host.pool(), host.spec().id()), open);
            slots.merge(host.pool(), open, Integer::sum);
        }
        for (TeamSpec team : configuration.teams().values()) {
            limits.put(PermitKey.unit(team.id()), team.upperLimit());
        }
        for (PoolSpec pool : configuration.pools().values()) {
            int open =
                    QueueKind.LONG.slotsOpen(slots.getOrDefault(pool.id(), 0), pool.quickReserve());
            limits.put(PermitKey.longRun(pool.id()), open);
        }
        return limits;
    }

    private static void setLimit(World world, PermitKey key, int limit) {
        TotalRow before = world.totals().find(key).orElse(new TotalRow(key, 0, 0));
        if (before.total() == limit && world.totals().contains(key)) {
            return;
        }
        world.totals().put(key, new TotalRow(key, limit, before.highest()));
        raiseHighest(world, key, limit);
        PermitGroup group = key.permitGroup();
        world.attachments().update(group, a -> a.withDue(0));
        world.tenures().update(group, t -> t.withDue(0));
    }

    /** Notes that there may once have been as many permits as given. */
    static void raiseHighest(World world, PermitKey key, int limit) {
        TotalRow row = world.totals().find(key).orElse(new TotalRow(key, 0, 0));
        if (limit > row.highest()) {
            world.totals().put(key, new TotalRow(key, row.total(), limit));
            int more = limit - row.highest();
            world.ledger().update(key, l -> l.withUnclaimed(more));
        }
    }
}
