package org.hibiscususher.core.maintenance;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hibiscususher.core.message.Input.RebootAnswered;
import org.hibiscususher.core.message.Outage;
import org.hibiscususher.core.message.OutageReason;
import org.hibiscususher.core.message.Output.RebootHost;
import org.hibiscususher.core.message.PlatformHost;
import org.hibiscususher.core.message.RebootResult;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.StoreRecord.OutageRecord;
import org.hibiscususher.core.message.StoreRecord.WaveRecord;
import org.hibiscususher.core.world.HostRow;
import org.hibiscususher.core.world.PlatformHostRow;
import org.hibiscususher.core.world.RebootRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/**
 * Reboots the hosts of a maintenance wave, each once, within the availability budgets.
 *
 * <p>The allocator of each pool runs the wave there, so pools go on side by side. What it has done
 * stands in the pool's record, so that its successor goes on from there.
 */
public final class WaveSystem {
    /** Hosts that may be out before the first has come back; grows with each that comes back. */
    private static final int FIRST_HOSTS = 4;

    private static final int REBOOT_RETRY_MS = 3_000;

    private WaveSystem() {}

    /** Takes hosts out, asks for reboots, and puts hosts that are back into service. */
    public static void run(Tick tick) {
        for (RebootAnswered answered : tick.inputs(RebootAnswered.class)) {
            recordResult(tick, answered);
        }
        if (!MaintenanceSchedule.isDue(tick)) {
            return;
        }
        Optional<WaveRecord> wave = FleetRecords.wave(tick.world());
        if (wave.isPresent()) {
            Map<String, List<HostRow>> pools = FleetRecords.decidablePools(tick);
            pools.forEach((pool, hosts) -> rebootIdleHosts(tick, wave.get(), pool));
            if (wave.get().state().takesHosts()) {
                pools.forEach((pool, hosts) -> takeHostsOut(tick, wave.get(), pool, hosts));
            }
        }
    }

    private static void recordResult(Tick tick, RebootAnswered answered) {
        tick.count("reboot." + answered.result().name().toLowerCase(java.util.Locale.ROOT));
        World world = tick.world();
        world.reboots()
                .find(answered.host())
                .filter(r -> r.token().equals(answered.token()))
                .filter(r -> r.result() != RebootResult.ACCEPTED)
                .ifPresent(
                        r -> world.reboots().put(answered.host(), r.withResult(answered.result())));
    }

    private static void rebootIdleHosts(Tick tick, WaveRecord wave, String pool) {
        World world = tick.world();
        if (!FleetRecords.canDraft(world, RecordKey.outages(pool))) {
            return;
        }
        OutageRecord record = FleetRecords.outages(world, pool);
        for (String host : record.outages().keySet()) {
            FleetRecords.outage(world, host)
                    .filter(o -> o.reason() == OutageReason.WAVE && o.idle())
                    .filter(o -> o.equals(record.outages().get(host)))
                    .ifPresent(o -> advanceReboot(tick, wave, pool, host, o));
        }
    }

    private static void advanceReboot(
            Tick tick, WaveRecord wave, String pool, String host, Outage outage) {
        World world = tick.world();
        String token = wave.id() + "/" + host;
        RebootRow row =
                world.reboots().find(host).orElse(new RebootRow(token, RebootResult.UNKNOWN, -1));
        Optional<String> bootId = bootId(world, host);
        boolean booted = bootId.filter(b -> !b.equals(outage.bootId())).isPresent();
        boolean due = row.sentMs() < 0 || tick.nowMs() - row.sentMs() >= REBOOT_RETRY_MS;
        if (row.result() == RebootResult.ACCEPTED) {
            if (booted) {
                OutageRecord next = FleetRecords.outages(world, pool).withDone(wave.id(), host);
                FleetRecords.draft(world, RecordKey.outages(pool), next);
                tick.count("wave.host-back");
            }
        } else if (row.result() == RebootResult.MISMATCH && booted) {
            world.reboots().remove(host);
            FleetRecords.draftOutage(world, pool, host, outage.withBootId(bootId.get()));
        } else if (due) {
            world.reboots().put(host, new RebootRow(token, row.result(), tick.nowMs()));
            tick.emit(new RebootHost(host, outage.bootId(), token));
        }
    }

    private static void takeHostsOut(Tick tick, WaveRecord wave, String pool, List<HostRow> hosts) {
        World world = tick.world();
        Map<String, Integer> waitingByZone = new LinkedHashMap<>();
        List<HostRow> waiting = hosts.stream().filter(h -> isEligible(tick, wave, h)).toList();
        waiting.forEach(h -> waitingByZone.merge(h.spec().zone(), 1, Integer::sum));
        List<HostRow> order =
                waiting.stream()
                        .sorted(
                                Comparator.comparingInt(
                                                (HostRow h) -> -waitingByZone.get(h.spec().zone()))
                                        .thenComparing(h -> h.spec().id()))
                        .toList();
        for (HostRow host : order) {
            String id = host.spec().id();
            if (hostsOut(world) >= FIRST_HOSTS + RebootedHosts.count(world, wave.id())) {
                return;
            }
            if (BudgetCheck.allows(tick, pool, hosts, host)) {
                long generation = FleetRecords.hostRecord(world, id).orElseThrow().generation();
                Outage outage = Outage.reboot(generation, bootId(world, id).orElseThrow());
                FleetRecords.draftOutage(world, pool, id, outage);
            }
        }
    }

    /** Returns whether a host is still to be rebooted and can be taken out now. */
    private static boolean isEligible(Tick tick, WaveRecord wave, HostRow host) {
        World world = tick.world();
        String id = host.spec().id();
        return wave.hosts().contains(id)
                && host.stage().takesWork()
                && FleetRecords.hostRecord(world, id).isPresent()
                && FleetRecords.outage(world, id).isEmpty()
                && !RebootedHosts.contains(world, wave.id(), id)
                && !BudgetCheck.isLost(world, id)
                && bootId(world, id).isPresent();
    }

    private static int hostsOut(World world) {
        int listed =
                (int)
                        world.outages().rows().stream()
                                .filter(o -> o.outage().reason() == OutageReason.WAVE)
                                .count();
        int drafted =
                world.fleetDrafts().rows().stream()
                        .map(d -> d.record().value())
                        .filter(OutageRecord.class::isInstance)
                        .map(OutageRecord.class::cast)
                        .mapToInt(r -> newlyDrafted(world, r))
                        .sum();
        return listed + drafted;
    }

    private static int newlyDrafted(World world, OutageRecord record) {
        return (int)
                record.outages().entrySet().stream()
                        .filter(e -> e.getValue().reason() == OutageReason.WAVE)
                        .filter(e -> !world.outages().contains(e.getKey()))
                        .filter(e -> FleetRecords.outage(world, e.getKey()).isPresent())
                        .count();
    }

    /** Returns the boot id that the platform's newest list shows for a host that is not going. */
    private static Optional<String> bootId(World world, String host) {
        return world.platformHosts()
                .find(host)
                .filter(r -> !r.lost())
                .map(PlatformHostRow::host)
                .map(PlatformHost::bootId)
                .filter(b -> !b.isEmpty());
    }
}
