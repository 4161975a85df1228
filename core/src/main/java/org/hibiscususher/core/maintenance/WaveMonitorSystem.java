package org.hibiscususher.core.maintenance;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.membership.Rendezvous;
import org.hibiscususher.core.message.OutageReason;
import org.hibiscususher.core.message.Output.LogEvent;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.StoreRecord.WaveRecord;
import org.hibiscususher.core.message.WaveState;
import org.hibiscususher.core.world.HostRow;
import org.hibiscususher.core.world.OutageRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.WaveDoneRow;
import org.hibiscususher.core.world.World;

/** Pauses a maintenance wave that goes bad, and ends one that has reached every host. */
public final class WaveMonitorSystem {
    /** Longest time from idle to rebooted before a host counts as failed. */
    private static final int REBOOT_LIMIT_MS = 120_000;

    private static final int RECENT_HOSTS = 10;
    private static final int MAX_FAILED = 2;

    private WaveMonitorSystem() {}

    /** Looks after the wave if this entry is the one to do so. */
    public static void run(Tick tick) {
        if (!MaintenanceStep.due(tick) || !Fleet.current(tick)) {
            return;
        }
        World world = tick.world();
        Optional<WaveRecord> wave = Fleet.wave(world).filter(w -> w.state().takesHosts());
        boolean own =
                wave.flatMap(w -> Rendezvous.choose("wave:" + w.id(), world.membership().record()))
                        .filter(world.node().identity().id()::equals)
                        .isPresent();
        if (!own || !Fleet.free(world, RecordKey.WAVE)) {
            return;
        }
        List<String> failed = failed(tick, wave.get());
        if (failed.size() >= MAX_FAILED) {
            String detail = "hosts failed in the wave: " + String.join(", ", failed);
            write(tick, wave.get().withState(WaveState.PAUSED, detail));
        } else if (finished(world, wave.get())) {
            write(tick, wave.get().withState(WaveState.DONE, ""));
        }
    }

    private static void write(Tick tick, WaveRecord next) {
        Fleet.draft(tick.world(), RecordKey.WAVE, next);
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

    /** Returns the hosts that do not come back, and those that came back lately and fail. */
    private static List<String> failed(Tick tick, WaveRecord wave) {
        World world = tick.world();
        List<String> failed = new ArrayList<>();
        for (OutageRow row : world.outages().rows()) {
            if (row.outage().reason() == OutageReason.WAVE && late(tick, row)) {
                failed.add(row.host());
            }
        }
        List<WaveDoneRow> done =
                world.waveDone().rows().stream().filter(r -> r.wave().equals(wave.id())).toList();
        for (WaveDoneRow row : done.subList(Math.max(0, done.size() - RECENT_HOSTS), done.size())) {
            Optional<HostRow> host = world.hosts().find(row.host());
            boolean resting = host.filter(h -> h.restUntilMs() > tick.nowMs()).isPresent();
            if (resting || Budget.lost(world, row.host())) {
                failed.add(row.host());
            }
        }
        return failed;
    }

    /** Returns whether a host takes too long to come back from its reboot. */
    static boolean late(Tick tick, OutageRow row) {
        return row.outage().idle() && tick.nowMs() - row.sinceMs() > REBOOT_LIMIT_MS;
    }

    private static boolean finished(World world, WaveRecord wave) {
        boolean out =
                world.outages().rows().stream()
                        .anyMatch(o -> o.outage().reason() == OutageReason.WAVE);
        return !out
                && wave.hosts().stream()
                        .filter(h -> world.configuration().hosts().containsKey(h))
                        .allMatch(h -> WaveDone.contains(world, wave.id(), h));
    }
}
