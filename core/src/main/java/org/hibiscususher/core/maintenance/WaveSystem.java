package org.hibiscususher.core.maintenance;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hibiscususher.core.message.Input.RebootResponse;
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
 * <p>The allocator of each pool runs the wave in that pool, so pools proceed in parallel. Progress
 * is in the pool's stored record, so that a new allocator continues from there and reboots no host
 * a second time.
 */
public final class WaveSystem {
    /**
     * How many hosts of a wave may be out of service before the first is back; each that comes back
     * allows one more, so that few hosts are lost if reboots fail.
     */
    private static final int INITIAL_MAX_HOSTS_OUT = 4;

    /** Time after which a call to reboot a host is repeated, under the same token. */
    private static final int REBOOT_RETRY_MS = 3_000;

    private WaveSystem() {}

    /**
     * Takes hosts out of service, requests their reboots, and returns rebooted hosts to service.
     *
     * <p>Hosts that are out come back also while the wave is paused.
     */
    public static void run(Tick tick) {
        for (RebootResponse response : tick.inputs(RebootResponse.class)) {
            recordResult(tick, response);
        }
        if (!MaintenanceSchedule.isDue(tick)) {
            return;
        }
        Optional<WaveRecord> wave = FleetRecords.wave(tick.world());
        if (wave.isPresent()) {
            Map<String, List<HostRow>> pools = FleetRecords.decidablePools(tick);
            pools.forEach((pool, hosts) -> rebootIdleHosts(tick, wave.get(), pool));
            if (wave.get().state().mayTakeHosts()) {
                pools.forEach((pool, hosts) -> takeHostsOut(tick, wave.get(), pool, hosts));
            }
        }
    }

    /**
     * Stores the result of the newest call to reboot a host.
     *
     * <p>Once a call was accepted, a later answer to a repeated one doesn't replace that.
     */
    private static void recordResult(Tick tick, RebootResponse response) {
        tick.count("reboot." + response.result().name().toLowerCase(java.util.Locale.ROOT));
        World world = tick.world();
        world.reboots()
                .find(response.host())
                .filter(r -> r.token().equals(response.token()))
                .filter(r -> r.result() != RebootResult.ACCEPTED)
                .ifPresent(
                        r -> world.reboots().put(response.host(), r.withResult(response.result())));
    }

    /** Advances the reboots of the pool's hosts that are out for a wave and idle. */
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

    /**
     * Advances the reboot of an idle host by a step.
     *
     * <p>The platform reboots a host only if its boot id is the one given, and once for a token. So
     * repeated calls reboot it once, also after an answer was lost. A host is back when the
     * platform lists another boot id. If the boot id given is outdated because the host has booted
     * on its own, the new one is recorded and the reboot is requested again.
     */
    private static void advanceReboot(
            Tick tick, WaveRecord wave, String pool, String host, Outage outage) {
        World world = tick.world();
        String token = wave.id() + "/" + host;
        RebootRow row =
                world.reboots().find(host).orElse(new RebootRow(token, RebootResult.UNKNOWN, -1));
        Optional<String> bootId = bootId(world, host);
        boolean rebooted = bootId.filter(b -> !b.equals(outage.bootId())).isPresent();
        boolean callDue = row.sentMs() < 0 || tick.nowMs() - row.sentMs() >= REBOOT_RETRY_MS;
        if (row.result() == RebootResult.ACCEPTED) {
            if (rebooted) {
                OutageRecord next = FleetRecords.outages(world, pool).withRebooted(wave.id(), host);
                FleetRecords.draft(world, RecordKey.outages(pool), next);
                tick.count("wave.host-back");
            }
        } else if (row.result() == RebootResult.MISMATCH && rebooted) {
            world.reboots().remove(host);
            FleetRecords.draftOutage(world, pool, host, outage.withBootId(bootId.get()));
        } else if (callDue) {
            world.reboots().put(host, new RebootRow(token, row.result(), tick.nowMs()));
            tick.emit(new RebootHost(host, outage.bootId(), token));
        }
    }

    /**
     * Takes as many hosts of a pool out of service as the wave and the budget allow, first those of
     * the zones with most hosts left: under a budget per zone, these take longest.
     */
    private static void takeHostsOut(Tick tick, WaveRecord wave, String pool, List<HostRow> hosts) {
        World world = tick.world();
        Map<String, Integer> eligibleByZone = new LinkedHashMap<>();
        List<HostRow> eligible = hosts.stream().filter(h -> isEligible(tick, wave, h)).toList();
        eligible.forEach(h -> eligibleByZone.merge(h.spec().zone(), 1, Integer::sum));
        List<HostRow> order =
                eligible.stream()
                        .sorted(
                                Comparator.comparingInt(
                                                (HostRow h) -> -eligibleByZone.get(h.spec().zone()))
                                        .thenComparing(h -> h.spec().id()))
                        .toList();
        for (HostRow host : order) {
            String id = host.spec().id();
            if (hostsOut(world) >= INITIAL_MAX_HOSTS_OUT + RebootedHosts.count(world, wave.id())) {
                return;
            }
            if (BudgetCheck.allows(tick, pool, hosts, host)) {
                long generation = FleetRecords.hostRecord(world, id).orElseThrow().generation();
                Outage outage = Outage.reboot(generation, bootId(world, id).orElseThrow());
                FleetRecords.draftOutage(world, pool, id, outage);
            }
        }
    }

    /**
     * Returns whether a host is in the wave, was not rebooted yet and can be taken out now.
     *
     * <p>A host whose boot id isn't known has to wait: its reboot could not be detected.
     */
    private static boolean isEligible(Tick tick, WaveRecord wave, HostRow host) {
        World world = tick.world();
        String id = host.spec().id();
        return wave.hosts().contains(id)
                && host.stage().acceptsWork()
                && FleetRecords.hostRecord(world, id).isPresent()
                && FleetRecords.outage(world, id).isEmpty()
                && !RebootedHosts.contains(world, wave.id(), id)
                && !BudgetCheck.isLost(world, id)
                && bootId(world, id).isPresent();
    }

    /** Returns how many hosts are out of service for a wave, or are to be by this tick's drafts. */
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

    /** Returns how many hosts a draft takes out for a wave that weren't out before. */
    private static int newlyDrafted(World world, OutageRecord record) {
        return (int)
                record.outages().entrySet().stream()
                        .filter(e -> e.getValue().reason() == OutageReason.WAVE)
                        .filter(e -> !world.outages().contains(e.getKey()))
                        .filter(e -> FleetRecords.outage(world, e.getKey()).isPresent())
                        .count();
    }

    /**
     * Returns the boot id in the platform's newest list, or empty if it isn't known or the host is
     * gone or leaving.
     */
    private static Optional<String> bootId(World world, String host) {
        return world.platformHosts()
                .find(host)
                .filter(r -> !r.goneOrLeaving())
                .map(PlatformHostRow::host)
                .map(PlatformHost::bootId)
                .filter(b -> !b.isEmpty());
    }
}
