package org.hibiscususher.core.maintenance;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.hibiscususher.core.config.Capacity;
import org.hibiscususher.core.config.HostSpec;
import org.hibiscususher.core.message.FleetRecord;
import org.hibiscususher.core.message.Input.FleetRecordsRead;
import org.hibiscususher.core.message.Input.HostListRead;
import org.hibiscususher.core.message.Input.PeerMessageReceived;
import org.hibiscususher.core.message.Input.RecordSwapped;
import org.hibiscususher.core.message.Input.RecordWatched;
import org.hibiscususher.core.message.Input.StoreFailed;
import org.hibiscususher.core.message.Outage;
import org.hibiscususher.core.message.Output.LogEvent;
import org.hibiscususher.core.message.Output.ReadFleetRecords;
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
 * Keeps the stored records about hosts up to date, and derives the pool and stage of each host from
 * them.
 *
 * <p>A record arrives by a read of all changes once a second, from the entry that wrote it, or from
 * a watch, whichever is first. So it may arrive more than once and late; only a higher version than
 * the one known is applied, as a host would otherwise go back to a former pool or outage.
 */
public final class FleetSyncSystem {
    /** Time between two reads of the changes. */
    private static final int POLL_INTERVAL_MS = 1_000;

    /** Time after which an unanswered read is replaced by another. */
    private static final int POLL_TIMEOUT_MS = 1_500;

    private FleetSyncSystem() {}

    /**
     * Applies newer records, updates the rows of the hosts that they concern, and reads changes.
     */
    public static void run(Tick tick) {
        Set<String> changedHosts = new LinkedHashSet<>();
        for (HostListRead read : tick.inputs(HostListRead.class)) {
            applyHostList(tick, read);
        }
        for (FleetRecord record : receivedRecords(tick)) {
            applyRecord(tick, record, changedHosts);
        }
        boolean wrote = completeCalls(tick);
        changedHosts.forEach(h -> updateHost(tick, h));
        applyConfiguration(tick);
        poll(tick, wrote);
    }

    /** Returns the records received in this tick, and marks the pending read as answered. */
    private static Set<FleetRecord> receivedRecords(Tick tick) {
        Set<FleetRecord> found = new LinkedHashSet<>();
        for (RecordWatched watched : tick.inputs(RecordWatched.class)) {
            if (watched.key().kind().isFleet()) {
                found.add(new FleetRecord(watched.key(), watched.record()));
            }
        }
        for (PeerMessageReceived received : tick.inputs(PeerMessageReceived.class)) {
            for (var item : received.message().items()) {
                if (item instanceof FleetRelay relay) {
                    found.add(relay.record());
                }
            }
        }
        for (FleetRecordsRead read : tick.inputs(FleetRecordsRead.class)) {
            found.addAll(read.records());
            if (read.callId() == tick.world().fleetSync().callId()) {
                tick.world()
                        .fleetSyncTable()
                        .update(World.SELF, s -> s.withReadAnswered(read.version()));
            }
        }
        return found;
    }

    /**
     * Stores a record if it is newer than the one known.
     *
     * @param changedHosts collects the hosts whose pool or stage may have changed
     */
    private static void applyRecord(Tick tick, FleetRecord record, Set<String> changedHosts) {
        World world = tick.world();
        Optional<FleetRow> previous = world.fleetRecords().find(record.key());
        long knownVersion = previous.map(r -> r.record().record().version()).orElse(0L);
        if (record.record().version() <= knownVersion) {
            return;
        }
        world.fleetRecords().put(record.key(), new FleetRow(record, tick.nowMs()));
        if (record.record().value() instanceof HostRecord host) {
            changedHosts.add(host.host());
            relayIfResponsible(tick, host.pool(), record);
        } else if (record.record().value() instanceof OutageRecord outages) {
            previous.map(r -> (OutageRecord) r.record().record().value())
                    .ifPresent(o -> changedHosts.addAll(o.outages().keySet()));
            changedHosts.addAll(outages.outages().keySet());
            RebootedHosts.record(tick, outages);
            relayIfResponsible(tick, outages.pool(), record);
        } else if (record.record().value() instanceof WaveRecord wave) {
            RebootedHosts.retainOnly(world, wave.id());
        }
    }

    /**
     * Relays a record of a pool that this entry is responsible for to the other members: it has
     * most likely written it, and they then need not wait for their next read.
     */
    private static void relayIfResponsible(Tick tick, String pool, FleetRecord record) {
        if (!pool.isEmpty() && FleetRecords.isResponsible(tick.world(), pool)) {
            for (MemberRow member : tick.world().members().rows()) {
                tick.send(member.member().id(), new FleetRelay(record));
            }
        }
    }

    /** Clears the calls to the store that have ended, and returns whether one was a write. */
    private static boolean completeCalls(Tick tick) {
        World world = tick.world();
        boolean wrote = false;
        for (RecordSwapped swapped : tick.inputs(RecordSwapped.class)) {
            wrote |= world.fleetWrites().remove(swapped.key()).isPresent();
        }
        for (StoreFailed failed : tick.inputs(StoreFailed.class)) {
            if (failed.callId() == world.fleetSync().callId()) {
                world.fleetSyncTable().update(World.SELF, FleetSyncRow::withReadFailed);
            }
        }
        return wrote;
    }

    private static void applyHostList(Tick tick, HostListRead read) {
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
        if (world.fleetSync().reconciledRevision() == revision) {
            return;
        }
        world.fleetSyncTable().update(World.SELF, s -> s.withReconciledRevision(revision));
        Set<String> hosts = new LinkedHashSet<>(world.configuration().hosts().keySet());
        world.hosts().rows().forEach(h -> hosts.add(h.spec().id()));
        hosts.forEach(h -> updateHost(tick, h));
    }

    /**
     * Updates the row of a host by the configuration and the records, or removes it if neither has
     * the host.
     */
    private static void updateHost(Tick tick, String host) {
        World world = tick.world();
        HostSpec spec = world.configuration().hosts().get(host);
        Optional<HostRecord> record = FleetRecords.hostRecord(world, host);
        updateOutage(tick, host);
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
                                                spec == null ? placeholderSpec(host, pool) : spec,
                                                pool,
                                                stage,
                                                0,
                                                0));
        if (!world.hosts().contains(host) || !row.pool().equals(pool) || row.stage() != stage) {
            world.hosts().put(host, row.withService(pool, stage));
        }
    }

    /**
     * Returns the stage of a host.
     *
     * @param declared whether the configuration has the host
     * @param recorded whether the host has a record that assigns it to a pool
     */
    private static HostStage stageOf(World world, String host, boolean declared, boolean recorded) {
        if (!recorded) {
            return HostStage.OUT;
        }
        Optional<Outage> outage = FleetRecords.outage(world, host);
        if (outage.isPresent()) {
            return outage.get().idle() ? HostStage.OUT : HostStage.RECALLED;
        }
        return declared ? HostStage.IN_SERVICE : HostStage.RECALLED;
    }

    /**
     * Returns a placeholder for the declaration of a host that has a record but is not in the
     * configuration, as after this entry has started while the withdrawn host drains.
     */
    private static HostSpec placeholderSpec(String host, String pool) {
        return new HostSpec(host, "", "", "", pool, 1, Capacity.NONE);
    }

    /** Updates the row of a host's outage; its time starts anew with each step of the outage. */
    private static void updateOutage(Tick tick, String host) {
        World world = tick.world();
        Optional<Outage> outage = FleetRecords.outage(world, host);
        if (outage.isEmpty()) {
            world.outages().remove(host);
            world.reboots().remove(host);
            return;
        }
        boolean unchanged =
                world.outages().find(host).filter(r -> r.outage().equals(outage.get())).isPresent();
        if (!unchanged) {
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

    /**
     * Reads all changes since the last read: at intervals, after each write, when the epoch has
     * changed, and when a command waits for the present wave.
     */
    private static void poll(Tick tick, boolean wrote) {
        World world = tick.world();
        FleetSyncRow sync = world.fleetSync();
        long epoch = world.membership().record().epoch();
        long ageMs = tick.nowMs() - sync.sentMs();
        boolean pending = sync.callId() != 0 && ageMs < POLL_TIMEOUT_MS;
        boolean wanted =
                sync.sentMs() < 0
                        || wrote
                        || epoch != sync.sentEpoch()
                        || commandNeedsRead(world, sync);
        if (wrote || !pending && (wanted || ageMs >= POLL_INTERVAL_MS)) {
            long callId = tick.nextCallId();
            world.fleetSyncTable()
                    .update(World.SELF, s -> s.withReadSent(tick.nowMs(), epoch, callId));
            tick.emit(new ReadFleetRecords(callId, sync.version()));
        }
    }

    /** Returns whether a command waits for a read and none was sent since it came. */
    private static boolean commandNeedsRead(World world, FleetSyncRow sync) {
        return world.pendingWaves().rows().stream()
                .anyMatch(r -> r.newRecord().isEmpty() && r.sinceMs() >= sync.sentMs());
    }
}
