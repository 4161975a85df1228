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

/** Builds the reports about the maintenance wave that operators get. */
final class WaveReports {
    private WaveReports() {}

    /**
     * Returns a report of the newest wave and of all hosts out of service, by host.
     *
     * @param ok whether the command that is answered was executed
     * @param detail text for the operator; if empty, the report has the detail of the wave's record
     */
    static WaveReport of(Tick tick, boolean ok, String detail) {
        World world = tick.world();
        Optional<WaveRecord> wave = FleetRecords.wave(world);
        List<WaveReport.OutOfServiceHost> out =
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
                wave.map(w -> RebootedHosts.count(world, w.id())).orElse(0),
                out);
    }

    private static WaveReport.OutOfServiceHost out(Tick tick, OutageRow row) {
        String pool = tick.world().hosts().find(row.host()).map(HostRow::pool).orElse("");
        return new WaveReport.OutOfServiceHost(
                row.host(), pool, activity(tick, row), tick.nowMs() - row.sinceMs());
    }

    /** Returns what a host out of service is doing, for operators. */
    private static String activity(Tick tick, OutageRow row) {
        if (!row.outage().idle()) {
            return row.reported()
                    ? "finishes its work, longer than it may run"
                    : "finishes its work";
        }
        if (row.outage().reason() == OutageReason.MOVE) {
            return "moves to pool " + row.outage().target();
        }
        return WaveMonitorSystem.isRebootOverdue(tick, row)
                ? "does not come back from its reboot"
                : "reboots";
    }
}
