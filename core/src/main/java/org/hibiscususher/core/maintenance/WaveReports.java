package org.hibiscususher.core.maintenance;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.hibiscususher.core.message.OutageReason;
import org.hibiscususher.core.message.StoreRecord.WaveRecord;
import org.hibiscususher.core.message.WaveReport;
import org.hibiscususher.core.world.HostRow;
import org.hibiscususher.core.world.OutageRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/** Describes the maintenance wave to operators. */
final class WaveReports {
    private WaveReports() {}

    /** Returns how the wave stands; an empty detail gives that of the wave. */
    static WaveReport of(Tick tick, boolean ok, String detail) {
        World world = tick.world();
        Optional<WaveRecord> wave = Fleet.wave(world);
        List<WaveReport.Out> out =
                world.outages().rows().stream()
                        .sorted(Comparator.comparing(OutageRow::host))
                        .map(o -> out(tick, o))
                        .toList();
        return new WaveReport(
                ok,
                wave.map(WaveRecord::id).orElse(""),
                wave.map(w -> w.state().name().toLowerCase(Locale.ROOT)).orElse(""),
                detail.isEmpty() ? wave.map(WaveRecord::detail).orElse("") : detail,
                wave.map(w -> w.hosts().size()).orElse(0),
                wave.map(w -> WaveDone.count(world, w.id())).orElse(0),
                out);
    }

    private static WaveReport.Out out(Tick tick, OutageRow row) {
        String pool = tick.world().hosts().find(row.host()).map(HostRow::pool).orElse("");
        return new WaveReport.Out(row.host(), pool, doing(tick, row), tick.nowMs() - row.sinceMs());
    }

    private static String doing(Tick tick, OutageRow row) {
        if (!row.outage().idle()) {
            return row.reported()
                    ? "finishes its work, longer than it may run"
                    : "finishes its work";
        }
        if (row.outage().reason() == OutageReason.MOVE) {
            return "moves to pool " + row.outage().target();
        }
        return WaveMonitorSystem.late(tick, row) ? "does not come back from its reboot" : "reboots";
    }
}
