package org.hibiscususher.core.maintenance;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hibiscususher.core.config.PoolSpec;
import org.hibiscususher.core.membership.RendezvousHash;
import org.hibiscususher.core.message.Input.PeerMessageReceived;
import org.hibiscususher.core.message.Outage;
import org.hibiscususher.core.message.OutageReason;
import org.hibiscususher.core.message.PeerItem.PoolShortfall;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.StoreRecord.HostRecord;
import org.hibiscususher.core.world.HostRow;
import org.hibiscususher.core.world.LendPolicy;
import org.hibiscususher.core.world.OutageRow;
import org.hibiscususher.core.world.PoolShortfallRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/**
 * Lends hosts of spare pools to pools that lack capacity, and sends them back.
 *
 * <p>The allocator of a spare pool decides which hosts it lends; the allocator of the borrowing
 * pool decides when a host goes back, since only the allocator of the pool that a host serves may
 * take it out of service. Both directions are moves, within the availability budget of the pool
 * that the host leaves.
 */
public final class LendSystem {
    /** Time between two messages to lenders about an unchanged lack of hosts. */
    private static final int NEED_REPEAT_MS = 1_000;

    /** Time after which a need that was not reported again is dropped. */
    private static final int NEED_EXPIRY_MS = 3_000;

    /** Utilization of its slots, in percent, that a pool may reach by giving hosts away. */
    private static final int MAX_UTILIZATION_PERCENT = 80;

    private static final int PERCENT = 100;

    private LendSystem() {}

    /**
     * Updates the needs of the pools that this entry decides for, sends back at most one host of
     * each and lends at most one host of each spare pool.
     */
    public static void run(Tick tick) {
        World world = tick.world();
        for (PeerMessageReceived received : tick.inputs(PeerMessageReceived.class)) {
            for (var item : received.message().items()) {
                if (item instanceof PoolShortfall need) {
                    recordNeed(tick, need.pool(), need.hosts());
                }
            }
        }
        boolean lendingEnabled =
                world.settings().lendPolicy() != LendPolicy.NONE
                        && world.configuration().pools().values().stream()
                                .anyMatch(PoolSpec::spare);
        if (!MaintenanceSchedule.isDue(tick) || !lendingEnabled) {
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
        world.poolShortfalls().removeIf(r -> tick.nowMs() - r.reportedMs() > NEED_EXPIRY_MS);
    }

    /**
     * Stores the need of a pool. Its start time is kept until the sign of the need changes.
     *
     * @param hosts how many hosts the pool lacks; negative if it has hosts to spare
     */
    private static void recordNeed(Tick tick, String pool, int hosts) {
        World world = tick.world();
        long sinceMs =
                world.poolShortfalls()
                        .find(pool)
                        .filter(r -> Integer.signum(r.hosts()) == Integer.signum(hosts))
                        .map(PoolShortfallRow::sinceMs)
                        .orElse(tick.nowMs());
        world.poolShortfalls().put(pool, new PoolShortfallRow(pool, hosts, sinceMs, tick.nowMs()));
    }

    /** Computes and stores the need of a pool, and reports it to lenders if it has changed. */
    private static void updateNeed(Tick tick, String pool, List<HostRow> hosts) {
        World world = tick.world();
        int before = world.poolShortfalls().find(pool).map(PoolShortfallRow::hosts).orElse(0);
        int need = hostsNeeded(tick, pool, hosts);
        recordNeed(tick, pool, need);
        boolean repeatDue = tick.nowMs() / NEED_REPEAT_MS != lastDecidedMs(world) / NEED_REPEAT_MS;
        if (need != before || need > 0 && repeatDue) {
            notifyLenders(tick, pool, need);
        }
    }

    private static long lastDecidedMs(World world) {
        return world.fleetSync().maintenanceRunMs();
    }

    /**
     * Returns how many hosts a pool lacks; negative if it has hosts to spare.
     *
     * <p>A pool none of whose hosts is available lacks one, as its demand can't be converted to
     * hosts.
     */
    private static int hostsNeeded(Tick tick, String pool, List<HostRow> hosts) {
        int slots = 0;
        int available = 0;
        for (HostRow host : hosts) {
            if (BudgetCheck.isAvailable(tick, host)) {
                slots += host.spec().slots();
                available++;
            }
        }
        if (available == 0) {
            return hosts.isEmpty() ? 0 : 1;
        }
        int perHost = Math.max(1, slots / available);
        int demand = PoolDemand.requests(tick.world(), pool);
        if (demand > slots) {
            return (demand - slots + perHost - 1) / perHost;
        }
        int slotsNeeded = demand * PERCENT / MAX_UTILIZATION_PERCENT;
        return -Math.max(0, (slots - slotsNeeded) / perHost);
    }

    /** Reports a pool's need to the allocators of the spare pools. */
    private static void notifyLenders(Tick tick, String pool, int need) {
        World world = tick.world();
        String self = world.node().identity().id();
        for (PoolSpec spec : world.configuration().pools().values()) {
            if (spec.spare() && !spec.id().equals(pool)) {
                RendezvousHash.choose("pool:" + spec.id(), world.membership().record())
                        .filter(m -> !m.equals(self))
                        .ifPresent(m -> tick.send(m, new PoolShortfall(pool, need)));
            }
        }
    }

    /**
     * Lends a host of a spare pool to the pool that lacks most, if it has lacked hosts for long
     * enough and the spare pool itself has hosts to spare.
     */
    private static void lend(Tick tick, String pool, List<HostRow> hosts) {
        World world = tick.world();
        int ownNeed = world.poolShortfalls().find(pool).map(PoolShortfallRow::hosts).orElse(0);
        Optional<PoolShortfallRow> borrower =
                world.poolShortfalls().rows().stream()
                        .filter(r -> !r.pool().equals(pool))
                        .filter(r -> r.hosts() > inboundHosts(world, r.pool()))
                        .filter(
                                r ->
                                        tick.nowMs() - r.sinceMs()
                                                >= world.settings().lendPolicy().borrowDelayMs())
                        .max(Comparator.comparingInt(PoolShortfallRow::hosts));
        if (ownNeed >= 0 || borrower.isEmpty()) {
            return;
        }
        hosts.stream()
                .filter(h -> isMovable(tick, pool, hosts, h))
                .filter(h -> !record(world, h).isLent())
                .findFirst()
                .ifPresent(h -> startMove(tick, pool, h, borrower.get().pool()));
    }

    /**
     * Sends a borrowed host back to its declared pool, if the borrower has had hosts to spare for
     * long, or at once if the declared pool lacks hosts.
     */
    private static void sendBack(Tick tick, String pool, List<HostRow> hosts) {
        World world = tick.world();
        Optional<PoolShortfallRow> ownNeed =
                world.poolShortfalls()
                        .find(pool)
                        .filter(r -> r.hosts() < 0)
                        .filter(
                                r ->
                                        tick.nowMs() - r.sinceMs()
                                                >= world.settings().lendPolicy().returnDelayMs());
        hosts.stream()
                .filter(h -> isMovable(tick, pool, hosts, h))
                .filter(h -> record(world, h).isLent())
                .filter(
                        h ->
                                ownNeed.isPresent()
                                        || lacksHosts(world, record(world, h).declaredPool()))
                .findFirst()
                .ifPresent(h -> startMove(tick, pool, h, record(world, h).declaredPool()));
    }

    private static boolean lacksHosts(World world, String pool) {
        return world.poolShortfalls().find(pool).filter(r -> r.hosts() > 0).isPresent();
    }

    /** Returns whether a host is available and may be taken out of service by the pool's budget. */
    private static boolean isMovable(Tick tick, String pool, List<HostRow> hosts, HostRow host) {
        World world = tick.world();
        String id = host.spec().id();
        return BudgetCheck.isAvailable(tick, host)
                && FleetRecords.hostRecord(world, id).isPresent()
                && FleetRecords.canDraft(world, RecordKey.host(id))
                && BudgetCheck.allows(tick, pool, hosts, host);
    }

    /** Takes a host out of service in its pool, to move to another. */
    private static void startMove(Tick tick, String pool, HostRow host, String target) {
        World world = tick.world();
        String id = host.spec().id();
        long generation = record(world, host).generation();
        FleetRecords.draftOutage(world, pool, id, Outage.move(generation, target));
        tick.count(record(world, host).isLent() ? "host.sent-back" : "host.lent");
    }

    private static HostRecord record(World world, HostRow host) {
        return FleetRecords.hostRecord(world, host.spec().id()).orElseThrow();
    }

    /**
     * Returns how many hosts are moving to a pool. They count, as it would otherwise get too many.
     */
    private static int inboundHosts(World world, String pool) {
        int count = 0;
        for (OutageRow row : world.outages().rows()) {
            boolean moves = row.outage().reason() == OutageReason.MOVE;
            count += moves && row.outage().target().equals(pool) ? 1 : 0;
        }
        return count;
    }
}
