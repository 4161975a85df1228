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
import org.hibiscususher.core.world.EscrowSyncRow;
import org.hibiscususher.core.world.HostRow;
import org.hibiscususher.core.world.PermitLimitRow;
import org.hibiscususher.core.world.Tick;
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
        EscrowSyncRow row = world.escrowSync();
        Configuration configuration = world.configuration();
        if (row.revision() == configuration.revision()
                && row.hostsVersion() == world.hosts().version()) {
            return false;
        }
        int longestRunMs = row.longestRunMs();
        for (QueueSpec queue : configuration.queues().values()) {
            longestRunMs = Math.max(longestRunMs, queue.longestRunMs());
        }
        world.escrowSyncTable()
                .put(
                        World.SELF,
                        new EscrowSyncRow(
                                row.epoch(),
                                configuration.revision(),
                                world.hosts().version(),
                                longestRunMs));
        Map<PermitKey, Integer> limits = limits(world, configuration);
        for (PermitLimitRow total : world.permitLimits().rows()) {
            limits.putIfAbsent(total.key(), 0);
        }
        limits.forEach((key, limit) -> setLimit(world, key, limit));
        return true;
    }

    private static Map<PermitKey, Integer> limits(World world, Configuration configuration) {
        Map<PermitKey, Integer> limits = new LinkedHashMap<>();
        Map<String, Integer> slotsByPool = new LinkedHashMap<>();
        for (HostRow host : world.hosts().rows()) {
            int limit = host.stage().acceptsWork() ? host.spec().slots() : 0;
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
        PermitLimitRow previous =
                world.permitLimits().find(key).orElse(new PermitLimitRow(key, 0, 0));
        if (previous.limit() == limit && world.permitLimits().contains(key)) {
            return;
        }
        world.permitLimits().put(key, new PermitLimitRow(key, limit, previous.highestLimit()));
        raiseHighest(world, key, limit);
        PermitGroup group = key.permitGroup();
        world.allocatorBindings().update(group, a -> a.withDueBy(0));
        world.allocatorTerms().update(group, t -> t.withDueBy(0));
    }

    /**
     * Records that as many permits as given may have existed. Those above the highest limit known
     * before count as unclaimed.
     */
    static void raiseHighest(World world, PermitKey key, int limit) {
        PermitLimitRow row = world.permitLimits().find(key).orElse(new PermitLimitRow(key, 0, 0));
        if (limit > row.highestLimit()) {
            world.permitLimits().put(key, new PermitLimitRow(key, row.limit(), limit));
            int increase = limit - row.highestLimit();
            world.ledger().update(key, l -> l.plusUnclaimed(increase));
        }
    }
}
