package org.hibiscususher.core.maintenance;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hibiscususher.core.membership.RendezvousHash;
import org.hibiscususher.core.message.FleetRecord;
import org.hibiscususher.core.message.Outage;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.StoreRecord;
import org.hibiscususher.core.message.StoreRecord.HostRecord;
import org.hibiscususher.core.message.StoreRecord.OutageRecord;
import org.hibiscususher.core.message.StoreRecord.WaveRecord;
import org.hibiscususher.core.message.VersionedRecord;
import org.hibiscususher.core.rollout.Freshness;
import org.hibiscususher.core.world.FleetSyncRow;
import org.hibiscususher.core.world.HostRow;
import org.hibiscususher.core.world.NodeStage;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/**
 * Reads the stored records about hosts as known here, and drafts their next versions.
 *
 * <p>Drafts made in a tick are visible to the systems that run later in that tick, so that together
 * they don't take out more hosts than the budget allows. {@link FleetWriteSystem} writes them.
 */
final class FleetRecords {
    private FleetRecords() {}

    /**
     * Returns whether this entry is the allocator of a pool, which alone takes the pool's hosts out
     * of service: two entries deciding at the same time could together exceed the pool's budget.
     */
    static boolean isResponsible(World world, String pool) {
        return RendezvousHash.choose("pool:" + pool, world.membership().record())
                .filter(world.node().identity().id()::equals)
                .isPresent();
    }

    /**
     * Returns whether this entry serves, its configuration is fresh, and its records about hosts
     * are complete and current.
     *
     * <p>They are if no read is pending, and the newest one was sent in the present epoch and
     * within the bound of freshness. A new allocator thus reads what its predecessor has written
     * before it decides.
     */
    static boolean isCurrent(Tick tick) {
        World world = tick.world();
        FleetSyncRow sync = world.fleetSync();
        return world.node().stage() == NodeStage.SERVING
                && Freshness.isFresh(world, tick.nowMs())
                && sync.callId() == 0
                && sync.version() > 0
                && sync.epoch() == world.membership().record().epoch()
                && tick.nowMs() - sync.sentMs() <= world.settings().freshnessMs();
    }

    /**
     * Returns the hosts of each pool that this entry may decide for, by pool.
     *
     * <p>Empty while the records known here aren't current. A pool is left out while a write of its
     * outages is pending, since its result is not known.
     */
    static Map<String, List<HostRow>> decidablePools(Tick tick) {
        World world = tick.world();
        if (!isCurrent(tick)) {
            return Map.of();
        }
        Map<String, List<HostRow>> pools = new LinkedHashMap<>();
        for (HostRow host : world.hosts().rows()) {
            pools.computeIfAbsent(host.pool(), p -> new ArrayList<>()).add(host);
        }
        pools.keySet()
                .removeIf(
                        p ->
                                world.fleetWrites().contains(RecordKey.outages(p))
                                        || !isResponsible(world, p));
        return pools;
    }

    /** Returns the newest record of a host, or empty if there is none or the host is withdrawn. */
    static Optional<HostRecord> hostRecord(World world, String host) {
        return lastHostRecord(world, host).filter(r -> !r.pool().isEmpty());
    }

    /** Returns the newest record of a host, withdrawn or not, or empty if there is none. */
    static Optional<HostRecord> lastHostRecord(World world, String host) {
        return latest(world, RecordKey.host(host)).map(HostRecord.class::cast);
    }

    /** Returns the outages of a pool, with the changes drafted in this tick. */
    static OutageRecord outages(World world, String pool) {
        return latest(world, RecordKey.outages(pool))
                .map(OutageRecord.class::cast)
                .orElseGet(() -> OutageRecord.empty(pool));
    }

    /**
     * Returns the outage of a host in the pool that it serves, or empty if it is in service.
     *
     * <p>An outage of an earlier generation of the host's record doesn't count: the host has
     * changed pools since, and the former pool's record still lists it.
     */
    static Optional<Outage> outage(World world, String host) {
        Optional<HostRecord> record = hostRecord(world, host);
        if (record.isEmpty()) {
            return Optional.empty();
        }
        Outage outage = outages(world, record.get().pool()).outages().get(host);
        return Optional.ofNullable(outage).filter(o -> o.generation() == record.get().generation());
    }

    /** Returns the newest maintenance wave, or empty if there has been none. */
    static Optional<WaveRecord> wave(World world) {
        return latest(world, RecordKey.WAVE).map(WaveRecord.class::cast);
    }

    /**
     * Returns whether a change of a record may be drafted: no write of it is pending and none was
     * drafted in this tick.
     */
    static boolean canDraft(World world, RecordKey key) {
        return !world.fleetWrites().contains(key) && !world.fleetDrafts().contains(key);
    }

    /**
     * Drafts the next version of a record; {@link FleetWriteSystem} writes it at the end of the
     * tick. The write fails if the stored record has another version than the one known here.
     */
    static void draft(World world, RecordKey key, StoreRecord value) {
        VersionedRecord next = new VersionedRecord(version(world, key), value);
        world.fleetDrafts().put(key, new FleetRecord(key, next));
    }

    /** Drafts the record of a pool with an outage of one of its hosts added or replaced. */
    static void draftOutage(World world, String pool, String host, Outage outage) {
        draft(world, RecordKey.outages(pool), outages(world, pool).withOutage(host, outage));
    }

    private static long version(World world, RecordKey key) {
        return world.fleetRecords().find(key).map(r -> r.record().record().version()).orElse(0L);
    }

    /** Returns the value drafted for a record, otherwise the newest one known, or empty. */
    private static Optional<StoreRecord> latest(World world, RecordKey key) {
        return world.fleetDrafts()
                .find(key)
                .or(() -> world.fleetRecords().find(key).map(r -> r.record()))
                .map(r -> r.record().value());
    }
}
