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

/**
 * Derives the limit of each permit, which is how many of it may exist, from the configuration and
 * the hosts in service.
 *
 * <p>The highest limit ever known is kept beside the one in force: after a limit was lowered,
 * members may still hold permits that were granted under the higher one, and an allocator has to
 * count them until it has all claims.
 */
final class PermitLimits {
    private PermitLimits() {}

    /**
     * Updates the limits if the configuration or the hosts have changed.
     *
     * <p>The longest run never decreases, as requests that were started under an earlier
     * configuration may still run.
     *
     * @return whether the configuration or the hosts have changed since the last update
     */
    static boolean update(Tick tick) {
        World world = tick.world();
        EscrowRow row = world.escrow();
        Configuration configuration = world.configuration();
        if (row.revision() == configuration.revision()
                && row.hostsVersion() == world.hosts().version()) {
            return false;
        }
        int longestRunMs = row.longestRunMs();
        for (QueueSpec queue : configuration.queues().values()) {
            longestRunMs = Math.max(longestRunMs, queue.longestRunMs());
        }
        world.escrowTable()
                .put(
                        World.SELF,
                        new EscrowRow(
                                row.epoch(),
                                configuration.revision(),
                                world.hosts().version(),
                                longestRunMs));
        Map<PermitKey, Integer> limits = limits(world, configuration);
        for (TotalRow total : world.totals().rows()) {
            limits.putIfAbsent(total.key(), 0);
        }
        limits.forEach((key, limit) -> setLimit(world, key, limit));
        return true;
    }

    private static Map<PermitKey, Integer> limits(World world, Configuration configuration) {
        Map<PermitKey, Integer> limits = new LinkedHashMap<>();
        Map<String, Integer> slotsByPool = new LinkedHashMap<>();
        for (HostRow host : world.hosts().rows()) {
            int limit = host.stage().takesWork() ? host.spec().slots() : 0;
            limits.put(PermitKey.slot(host.pool(), host.spec().id()), limit);
            slotsByPool.merge(host.pool(), limit, Integer::sum);
        }
        for (TeamSpec team : configuration.teams().values()) {
            limits.put(PermitKey.unit(team.id()), team.upperLimit());
        }
        for (PoolSpec pool : configuration.pools().values()) {
            int limit =
                    QueueKind.LONG.maxSlots(
                            slotsByPool.getOrDefault(pool.id(), 0), pool.quickReserve());
            limits.put(PermitKey.longRun(pool.id()), limit);
        }
        return limits;
    }

    /** Sets a limit and makes its group due, for the holder and for the allocator. */
    private static void setLimit(World world, PermitKey key, int limit) {
        TotalRow previous = world.totals().find(key).orElse(new TotalRow(key, 0, 0));
        if (previous.total() == limit && world.totals().contains(key)) {
            return;
        }
        world.totals().put(key, new TotalRow(key, limit, previous.highest()));
        raiseHighest(world, key, limit);
        PermitGroup group = key.permitGroup();
        world.attachments().update(group, a -> a.withDue(0));
        world.tenures().update(group, t -> t.withDue(0));
    }

    /**
     * Records that as many permits as given may have existed. Those above the highest limit known
     * before count as unclaimed.
     */
    static void raiseHighest(World world, PermitKey key, int limit) {
        TotalRow row = world.totals().find(key).orElse(new TotalRow(key, 0, 0));
        if (limit > row.highest()) {
            world.totals().put(key, new TotalRow(key, row.total(), limit));
            int increase = limit - row.highest();
            world.ledger().update(key, l -> l.withUnclaimed(increase));
        }
    }
}
