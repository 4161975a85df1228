package org.hibiscususher.core.maintenance;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.membership.RendezvousHash;
import org.hibiscususher.core.message.OutageReason;
import org.hibiscususher.core.message.Output.LogEvent;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.StoreRecord.WaveRecord;
import org.hibiscususher.core.message.WaveState;
import org.hibiscususher.core.world.HostRow;
import org.hibiscususher.core.world.OutageRow;
import org.hibiscususher.core.world.RebootedHostRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/**
 * Pauses a maintenance wave whose hosts fail, and completes one that has rebooted every host.
 *
 * <p>Without the pause, a fault that the reboot triggers would take down more and more hosts. One
 * member, chosen by the wave's id, does this, since the failures of all pools count together.
 */
public final class WaveMonitorSystem {
    /** Longest time from idle to rebooted, in milliseconds, before a host counts as failed. */
    private static final int REBOOT_TIMEOUT_MS = 120_000;

    /** How many of the hosts that came back last are checked for failures. */
    private static final int RECENT_HOSTS = 10;

    /** Failed hosts at which the wave is paused. */
    private static final int FAILED_HOSTS_TO_PAUSE = 2;

    private WaveMonitorSystem() {}

    /** Checks the running wave, if this entry is the member that monitors it. */
    public static void run(Tick tick) {
        if (!MaintenanceSchedule.isDue(tick) || !FleetRecords.isCurrent(tick)) {
            return;
        }
        World world = tick.world();
        Optional<WaveRecord> wave = FleetRecords.wave(world).filter(w -> w.state().mayTakeHosts());
        boolean isMonitor =
                wave.flatMap(
                                w ->
                                        RendezvousHash.choose(
                                                "wave:" + w.id(), world.membership().record()))
                        .filter(world.node().identity().id()::equals)
                        .isPresent();
        if (!isMonitor || !FleetRecords.canDraft(world, RecordKey.WAVE)) {
            return;
        }
        List<String> failed = failedHosts(tick, wave.get());
        if (failed.size() >= FAILED_HOSTS_TO_PAUSE) {
            String detail = "hosts failed in the wave: " + String.join(", ", failed);
            draftState(tick, wave.get().withState(WaveState.PAUSED, detail));
        } else if (isComplete(world, wave.get())) {
            draftState(tick, wave.get().withState(WaveState.DONE, ""));
        }
    }

    /** Drafts the wave's record in another state, and logs the change. */
    private static void draftState(Tick tick, WaveRecord next) {
        FleetRecords.draft(tick.world(), RecordKey.WAVE, next);
        tick.count("wave." + next.state().name().toLowerCase(java.util.Locale.ROOT));
        tick.emit(
                new LogEvent(
                        "event=wave id="
                                + next.id()
                                + " state="
                                + next.state()
                                + " detail=\""
                                + next.detail()
                                + "\""));
    }

    /**
     * Returns the hosts whose reboot is overdue, and those of the last to come back that are
     * quarantined or lost.
     */
    private static List<String> failedHosts(Tick tick, WaveRecord wave) {
        World world = tick.world();
        List<String> failed = new ArrayList<>();
        for (OutageRow row : world.outages().rows()) {
            if (row.outage().reason() == OutageReason.WAVE && isRebootOverdue(tick, row)) {
                failed.add(row.host());
            }
        }
        List<RebootedHostRow> rebooted =
                world.rebootedHosts().rows().stream()
                        .filter(r -> r.wave().equals(wave.id()))
                        .toList();
        for (RebootedHostRow row :
                rebooted.subList(Math.max(0, rebooted.size() - RECENT_HOSTS), rebooted.size())) {
            Optional<HostRow> host = world.hosts().find(row.host());
            boolean quarantined =
                    host.filter(h -> h.quarantinedUntilMs() > tick.nowMs()).isPresent();
            if (quarantined || BudgetCheck.isLost(world, row.host())) {
                failed.add(row.host());
            }
        }
        return failed;
    }

    /** Returns whether an idle host has been out of service for longer than a reboot may take. */
    static boolean isRebootOverdue(Tick tick, OutageRow row) {
        return row.outage().idle() && tick.nowMs() - row.sinceMs() > REBOOT_TIMEOUT_MS;
    }

    /**
     * Returns whether no host is out of service for a wave, and all hosts of the wave that are
     * still in the configuration were rebooted.
     */
    private static boolean isComplete(World world, WaveRecord wave) {
        boolean hostsOut =
                world.outages().rows().stream()
                        .anyMatch(o -> o.outage().reason() == OutageReason.WAVE);
        return !hostsOut
                && wave.hosts().stream()
                        .filter(h -> world.configuration().hosts().containsKey(h))
                        .allMatch(h -> RebootedHosts.contains(world, wave.id(), h));
    }
}
