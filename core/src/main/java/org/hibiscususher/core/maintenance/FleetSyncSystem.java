package org.hibiscususher.core.maintenance;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.hibiscususher.core.config.Capacity;
import org.hibiscususher.core.config.HostSpec;
import org.hibiscususher.core.message.FleetRecord;
import org.hibiscususher.core.message.Input.FleetRead;
import org.hibiscususher.core.message.Input.HostListRead;
import org.hibiscususher.core.message.Input.PeerReceived;
import org.hibiscususher.core.message.Input.RecordSwapped;
import org.hibiscususher.core.message.Input.RecordWatched;
import org.hibiscususher.core.message.Input.StoreFailed;
import org.hibiscususher.core.message.Outage;
import org.hibiscususher.core.message.Output.LogEvent;
import org.hibiscususher.core.message.Output.ReadFleet;
import org.hibiscususher.core.message.PeerItem.FleetRelay;
import org.hibiscususher.core.message.PlatformHost;
import org.hibiscususher.core.message.StoreRecord.HostRecord;
import org.hibiscususher.core.message.StoreRecord.OutageRecord;
import org.hibiscususher.core.message.StoreRecord.WaveRecord;
import org.hibiscususher.core.world.FleetRow;
import org.hibiscususher.core.world.FleetSyncRow;
import org.hibiscususher.core.world.HostRow;
import org.hibiscususher.core.world.HostStage;
import org.hibiscususher.core.world.MemberRow;
import org.hibiscususher.core.world.OutageRow;
import org.hibiscususher.core.world.PlatformHostRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/**
 * Follows the records about hosts and sets the pool and stage of each host by them.
 *
 * <p>Records only go forward by version. They come from a read of all changes once a second, from
 * the entry that wrote them, or from a watch, whichever is first.
 */
public final class FleetSyncSystem {
    private static final int POLL_INTERVAL_MS = 1_000;
    private static final int POLL_TIMEOUT_MS = 1_500;

    private FleetSyncSystem() {}

    /** Takes in newer records, brings the host rows in line, and asks for changes. */
    public static void run(Tick tick) {
        Set<String> touched = new LinkedHashSet<>();
        for (HostListRead read : tick.inputs(HostListRead.class)) {
            takeList(tick, read);
        }
        for (FleetRecord record : arrived(tick)) {
            take(tick, record, touched);
        }
        boolean wrote = endCalls(tick);
        touched.forEach(h -> apply(tick, h));
        applyConfiguration(tick);
        poll(tick, wrote);
    }

    private static Set<FleetRecord> arrived(Tick tick) {
        Set<FleetRecord> found = new LinkedHashSet<>();
        for (RecordWatched watched : tick.inputs(RecordWatched.class)) {
            if (watched.key().kind().fleet()) {
                found.add(new FleetRecord(watched.key(), watched.record()));
            }
        }
        for (PeerReceived received : tick.inputs(PeerReceived.class)) {
            for (var item : received.message().items()) {
                if (item instanceof FleetRelay relay) {
                    found.add(relay.record());
                }
            }
        }
        for (FleetRead read : tick.inputs(FleetRead.class)) {
            found.addAll(read.records());
            if (read.callId() == tick.world().fleetSync().callId()) {
                tick.world().fleetSyncTable().update(World.SELF, s -> s.answered(read.version()));
            }
        }
        return found;
    }

    private static void take(Tick tick, FleetRecord record, Set<String> touched) {
        World world = tick.world();
        Optional<FleetRow> old = world.fleet().find(record.key());
        long known = old.map(r -> r.record().record().version()).orElse(0L);
        if (record.record().version() <= known) {
            return;
        }
        world.fleet().put(record.key(), new FleetRow(record, tick.nowMs()));
        if (record.record().value() instanceof HostRecord host) {
            touched.add(host.host());
            relayOwn(tick, host.pool(), record);
        } else if (record.record().value() instanceof OutageRecord outages) {
            old.map(r -> (OutageRecord) r.record().record().value())
                    .ifPresent(o -> touched.addAll(o.outages().keySet()));
            touched.addAll(outages.outages().keySet());
            WaveDone.note(tick, outages);
            relayOwn(tick, outages.pool(), record);
        } else if (record.record().value() instanceof WaveRecord wave) {
            WaveDone.keep(world, wave.id());
        }
    }

    /** Tells the others of a record of a pool that this entry decides for, and so has written. */
    private static void relayOwn(Tick tick, String pool, FleetRecord record) {
        if (!pool.isEmpty() && Fleet.responsible(tick.world(), pool)) {
            for (MemberRow member : tick.world().members().rows()) {
                tick.tell(member.member().id(), new FleetRelay(record));
            }
        }
    }

    private static boolean endCalls(Tick tick) {
        World world = tick.world();
        boolean wrote = false;
        for (RecordSwapped swapped : tick.inputs(RecordSwapped.class)) {
            wrote |= world.fleetCalls().remove(swapped.key()).isPresent();
        }
        for (StoreFailed failed : tick.inputs(StoreFailed.class)) {
            if (failed.callId() == world.fleetSync().callId()) {
                world.fleetSyncTable().update(World.SELF, FleetSyncRow::failed);
            }
        }
        return wrote;
    }

    private static void takeList(Tick tick, HostListRead read) {
        World world = tick.world();
        Set<String> listed = new LinkedHashSet<>();
        for (PlatformHost host : read.hosts()) {
            listed.add(host.id());
            world.platformHosts().put(host.id(), new PlatformHostRow(host, true));
        }
        for (PlatformHostRow row : world.platformHosts().rows()) {
            if (row.listed() && !listed.contains(row.host().id())) {
                world.platformHosts().put(row.host().id(), new PlatformHostRow(row.host(), false));
            }
        }
    }

    private static void applyConfiguration(Tick tick) {
        World world = tick.world();
        long revision = world.configuration().revision();
        if (world.fleetSync().revision() == revision) {
            return;
        }
        world.fleetSyncTable().update(World.SELF, s -> s.withRevision(revision));
        Set<String> hosts = new LinkedHashSet<>(world.configuration().hosts().keySet());
        world.hosts().rows().forEach(h -> hosts.add(h.spec().id()));
        hosts.forEach(h -> apply(tick, h));
    }

    /** Sets the pool and stage of a host, or drops it when it is withdrawn and idle. */
    private static void apply(Tick tick, String host) {
        World world = tick.world();
        HostSpec spec = world.configuration().hosts().get(host);
        Optional<HostRecord> record = Fleet.hostRecord(world, host);
        noteOutage(tick, host);
        if (spec == null && record.isEmpty()) {
            world.hosts().remove(host);
            return;
        }
        String pool = record.map(HostRecord::pool).orElseGet(() -> spec.pool());
        HostStage stage = stageOf(world, host, spec != null, record.isPresent());
        HostRow row =
                world.hosts()
                        .find(host)
                        .orElseGet(
                                () ->
                                        new HostRow(
                                                spec == null ? withdrawn(host, pool) : spec,
                                                pool,
                                                stage,
                                                0,
                                                0));
        if (!world.hosts().contains(host) || !row.pool().equals(pool) || row.stage() != stage) {
            world.hosts().put(host, row.withService(pool, stage));
        }
    }

    private static HostStage stageOf(World world, String host, boolean declared, boolean recorded) {
        if (!recorded) {
            return HostStage.OUT;
        }
        Optional<Outage> outage = Fleet.outage(world, host);
        if (outage.isPresent()) {
            return outage.get().idle() ? HostStage.OUT : HostStage.RECALLED;
        }
        return declared ? HostStage.IN_SERVICE : HostStage.RECALLED;
    }

    /** Returns a stand-in for the declaration of a host whose declaration was never seen here. */
    private static HostSpec withdrawn(String host, String pool) {
        return new HostSpec(host, "", "", "", pool, 1, Capacity.NONE);
    }

    private static void noteOutage(Tick tick, String host) {
        World world = tick.world();
        Optional<Outage> outage = Fleet.outage(world, host);
        if (outage.isEmpty()) {
            world.outages().remove(host);
            world.reboots().remove(host);
            return;
        }
        boolean same =
                world.outages().find(host).filter(r -> r.outage().equals(outage.get())).isPresent();
        if (!same) {
            world.outages().put(host, new OutageRow(host, outage.get(), tick.nowMs(), false));
            tick.emit(
                    new LogEvent(
                            "event=host-outage host="
                                    + host
                                    + " reason="
                                    + outage.get().reason()
                                    + " idle="
                                    + outage.get().idle()));
        }
    }

    /** Reads all changes now and then, after each write, and when the epoch has changed. */
    private static void poll(Tick tick, boolean wrote) {
        World world = tick.world();
        FleetSyncRow sync = world.fleetSync();
        long epoch = world.membership().record().epoch();
        long ageMs = tick.nowMs() - sync.sentMs();
        boolean out = sync.callId() != 0 && ageMs < POLL_TIMEOUT_MS;
        boolean wanted =
                sync.sentMs() < 0
                        || wrote
                        || epoch != sync.sentEpoch()
                        || commandWaits(world, sync);
        if (wrote || !out && (wanted || ageMs >= POLL_INTERVAL_MS)) {
            long callId = tick.nextCallId();
            world.fleetSyncTable().update(World.SELF, s -> s.sent(tick.nowMs(), epoch, callId));
            tick.emit(new ReadFleet(callId, sync.version()));
        }
    }

    private static boolean commandWaits(World world, FleetSyncRow sync) {
        return world.pendingWaves().rows().stream()
                .anyMatch(r -> r.wanted().isEmpty() && r.sinceMs() >= sync.sentMs());
    }
}
