package org.hibiscususher.core.maintenance;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hibiscususher.core.config.PoolSpec;
import org.hibiscususher.core.membership.Rendezvous;
import org.hibiscususher.core.message.Input.PeerReceived;
import org.hibiscususher.core.message.Outage;
import org.hibiscususher.core.message.OutageReason;
import org.hibiscususher.core.message.PeerItem.PoolNeed;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.StoreRecord.HostRecord;
import org.hibiscususher.core.world.HostRow;
import org.hibiscususher.core.world.LendPolicy;
import org.hibiscususher.core.world.OutageRow;
import org.hibiscususher.core.world.PoolNeedRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/**
 * Lends hosts of spare pools to pools that are short, and sends them back.
 *
 * <p>The allocator of a spare pool decides what it lends; the allocator of the borrowing pool
 * decides when a host goes back. Both ways are moves, within the budget of the pool that the host
 * leaves.
 */
public final class LendSystem {
    private static final int TELL_INTERVAL_MS = 1_000;
    private static final int FORGET_MS = 3_000;

    /** Demand up to this part of a pool's slots, in percent, counts as enough to do without. */
    private static final int FULL_PERCENT = 80;

    private static final int PERCENT = 100;

    private LendSystem() {}

    /** Measures the needs of the pools, lends one host per spare pool and sends one back. */
    public static void run(Tick tick) {
        World world = tick.world();
        for (PeerReceived received : tick.inputs(PeerReceived.class)) {
            for (var item : received.message().items()) {
                if (item instanceof PoolNeed need) {
                    recordNeed(tick, need.pool(), need.hosts());
                }
            }
        }
        boolean lends =
                world.settings().lendPolicy() != LendPolicy.NONE
                        && world.configuration().pools().values().stream()
                                .anyMatch(PoolSpec::spare);
        if (!MaintenanceSchedule.isDue(tick) || !lends) {
            return;
        }
        Map<String, List<HostRow>> pools = FleetRecords.decidablePools(tick);
        pools.forEach((pool, hosts) -> updateNeed(tick, pool, hosts));
        pools.forEach(
                (pool, hosts) -> {
                    if (FleetRecords.canDraft(world, RecordKey.outages(pool))) {
                        sendBack(tick, pool, hosts);
                    }
                    PoolSpec spec = world.configuration().pools().get(pool);
                    if (spec != null && spec.spare()) {
                        lend(tick, pool, hosts);
                    }
                });
        world.poolNeeds().removeIf(r -> tick.nowMs() - r.heardMs() > FORGET_MS);
    }

    /** Notes a pool's need; the time since when it has held starts anew when its sign changes. */
    private static void recordNeed(Tick tick, String pool, int hosts) {
        World world = tick.world();
        long sinceMs =
                world.poolNeeds()
                        .find(pool)
                        .filter(r -> Integer.signum(r.hosts()) == Integer.signum(hosts))
                        .map(PoolNeedRow::sinceMs)
                        .orElse(tick.nowMs());
        world.poolNeeds().put(pool, new PoolNeedRow(pool, hosts, sinceMs, tick.nowMs()));
    }

    private static void updateNeed(Tick tick, String pool, List<HostRow> hosts) {
        World world = tick.world();
        int before = world.poolNeeds().find(pool).map(PoolNeedRow::hosts).orElse(0);
        int need = hostsNeeded(tick, pool, hosts);
        recordNeed(tick, pool, need);
        boolean turn = tick.nowMs() / TELL_INTERVAL_MS != lastDecidedMs(world) / TELL_INTERVAL_MS;
        if (need != before || need > 0 && turn) {
            notifyLenders(tick, pool, need);
        }
    }

    private static long lastDecidedMs(World world) {
        return world.fleetSync().steppedMs();
    }

    /** Returns how many hosts a pool is short of; negative if it can do without some. */
    private static int hostsNeeded(Tick tick, String pool, List<HostRow> hosts) {
        int slots = 0;
        int inService = 0;
        for (HostRow host : hosts) {
            if (BudgetCheck.isAvailable(tick, host)) {
                slots += host.spec().slots();
                inService++;
            }
        }
        if (inService == 0) {
            return hosts.isEmpty() ? 0 : 1;
        }
        int perHost = Math.max(1, slots / inService);
        int demand = PoolDemand.requests(tick.world(), pool);
        if (demand > slots) {
            return (demand - slots + perHost - 1) / perHost;
        }
        int wanted = demand * PERCENT / FULL_PERCENT;
        return -Math.max(0, (slots - wanted) / perHost);
    }

    private static void notifyLenders(Tick tick, String pool, int need) {
        World world = tick.world();
        String self = world.node().identity().id();
        for (PoolSpec spec : world.configuration().pools().values()) {
            if (spec.spare() && !spec.id().equals(pool)) {
                Rendezvous.choose("pool:" + spec.id(), world.membership().record())
                        .filter(m -> !m.equals(self))
                        .ifPresent(m -> tick.tell(m, new PoolNeed(pool, need)));
            }
        }
    }

    private static void lend(Tick tick, String pool, List<HostRow> hosts) {
        World world = tick.world();
        int own = world.poolNeeds().find(pool).map(PoolNeedRow::hosts).orElse(0);
        Optional<PoolNeedRow> borrower =
                world.poolNeeds().rows().stream()
                        .filter(r -> !r.pool().equals(pool))
                        .filter(r -> r.hosts() > inboundHosts(world, r.pool()))
                        .filter(
                                r ->
                                        tick.nowMs() - r.sinceMs()
                                                >= world.settings().lendPolicy().shortMs())
                        .max(Comparator.comparingInt(PoolNeedRow::hosts));
        if (own >= 0 || borrower.isEmpty()) {
            return;
        }
        hosts.stream()
                .filter(h -> isMovable(tick, pool, hosts, h))
                .filter(h -> !record(world, h).lent())
                .findFirst()
                .ifPresent(h -> startMove(tick, pool, h, borrower.get().pool()));
    }

    private static void sendBack(Tick tick, String pool, List<HostRow> hosts) {
        World world = tick.world();
        Optional<PoolNeedRow> own =
                world.poolNeeds()
                        .find(pool)
                        .filter(r -> r.hosts() < 0)
                        .filter(
                                r ->
                                        tick.nowMs() - r.sinceMs()
                                                >= world.settings().lendPolicy().enoughMs());
        hosts.stream()
                .filter(h -> isMovable(tick, pool, hosts, h))
                .filter(h -> record(world, h).lent())
                .filter(h -> own.isPresent() || isShort(world, record(world, h).declared()))
                .findFirst()
                .ifPresent(h -> startMove(tick, pool, h, record(world, h).declared()));
    }

    private static boolean isShort(World world, String pool) {
        return world.poolNeeds().find(pool).filter(r -> r.hosts() > 0).isPresent();
    }

    private static boolean isMovable(Tick tick, String pool, List<HostRow> hosts, HostRow host) {
        World world = tick.world();
        String id = host.spec().id();
        return BudgetCheck.isAvailable(tick, host)
                && FleetRecords.hostRecord(world, id).isPresent()
                && FleetRecords.canDraft(world, RecordKey.host(id))
                && BudgetCheck.allows(tick, pool, hosts, host);
    }

    private static void startMove(Tick tick, String pool, HostRow host, String target) {
        World world = tick.world();
        String id = host.spec().id();
        long generation = record(world, host).generation();
        FleetRecords.draftOutage(world, pool, id, Outage.move(generation, target));
        tick.count(record(world, host).lent() ? "host.sent-back" : "host.lent");
    }

    private static HostRecord record(World world, HostRow host) {
        return FleetRecords.hostRecord(world, host.spec().id()).orElseThrow();
    }

    private static int inboundHosts(World world, String pool) {
        int count = 0;
        for (OutageRow row : world.outages().rows()) {
            boolean moves = row.outage().reason() == OutageReason.MOVE;
            count += moves && row.outage().target().equals(pool) ? 1 : 0;
        }
        return count;
    }
}
