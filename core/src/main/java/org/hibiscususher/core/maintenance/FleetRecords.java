package org.hibiscususher.core.maintenance;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hibiscususher.core.membership.Rendezvous;
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

/** Reads the records about hosts, and drafts their next versions. */
final class FleetRecords {
    private FleetRecords() {}

    /** Returns whether this entry is the allocator of a pool, which alone decides for its hosts. */
    static boolean isResponsible(World world, String pool) {
        return Rendezvous.choose("pool:" + pool, world.membership().record())
                .filter(world.node().identity().id()::equals)
                .isPresent();
    }

    /** Returns whether this entry serves and its view of the records is complete and current. */
    static boolean isCurrent(Tick tick) {
        World world = tick.world();
        FleetSyncRow sync = world.fleetSync();
        return world.node().stage() == NodeStage.SERVING
                && Freshness.vouches(world, tick.nowMs())
                && sync.callId() == 0
                && sync.version() > 0
                && sync.epoch() == world.membership().record().epoch()
                && tick.nowMs() - sync.sentMs() <= world.settings().freshnessMs();
    }

    /** Returns the hosts of each pool that this entry decides for and has no write out for. */
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
                                world.fleetCalls().contains(RecordKey.outages(p))
                                        || !isResponsible(world, p));
        return pools;
    }

    /** Returns the record of a host that serves a pool, or empty. */
    static Optional<HostRecord> hostRecord(World world, String host) {
        return lastHostRecord(world, host).filter(r -> !r.pool().isEmpty());
    }

    /** Returns the record of a host, be it withdrawn or not, or empty. */
    static Optional<HostRecord> lastHostRecord(World world, String host) {
        return latest(world, RecordKey.host(host)).map(HostRecord.class::cast);
    }

    /** Returns the record of a pool's outages, with the changes drafted in this tick. */
    static OutageRecord outages(World world, String pool) {
        return latest(world, RecordKey.outages(pool))
                .map(OutageRecord.class::cast)
                .orElseGet(() -> OutageRecord.empty(pool));
    }

    /** Returns why a host is out of service in the pool that it serves, or empty. */
    static Optional<Outage> outage(World world, String host) {
        Optional<HostRecord> record = hostRecord(world, host);
        if (record.isEmpty()) {
            return Optional.empty();
        }
        Outage outage = outages(world, record.get().pool()).outages().get(host);
        return Optional.ofNullable(outage).filter(o -> o.generation() == record.get().generation());
    }

    /** Returns the newest wave, or empty. */
    static Optional<WaveRecord> wave(World world) {
        return latest(world, RecordKey.WAVE).map(WaveRecord.class::cast);
    }

    /** Returns whether a record has no write out and none drafted in this tick. */
    static boolean canDraft(World world, RecordKey key) {
        return !world.fleetCalls().contains(key) && !world.fleetDrafts().contains(key);
    }

    /** Drafts a record; {@link FleetWriteSystem} writes it at the end of the tick. */
    static void draft(World world, RecordKey key, StoreRecord value) {
        VersionedRecord next = new VersionedRecord(version(world, key), value);
        world.fleetDrafts().put(key, new FleetRecord(key, next));
    }

    /** Drafts an outage of a host in the pool that it serves. */
    static void draftOutage(World world, String pool, String host, Outage outage) {
        draft(world, RecordKey.outages(pool), outages(world, pool).with(host, outage));
    }

    private static long version(World world, RecordKey key) {
        return world.fleet().find(key).map(r -> r.record().record().version()).orElse(0L);
    }

    private static Optional<StoreRecord> latest(World world, RecordKey key) {
        return world.fleetDrafts()
                .find(key)
                .or(() -> world.fleet().find(key).map(r -> r.record()))
                .map(r -> r.record().value());
    }
}
