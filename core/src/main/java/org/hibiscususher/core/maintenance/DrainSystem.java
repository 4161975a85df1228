package org.hibiscususher.core.maintenance;

import java.util.Optional;
import org.hibiscususher.core.config.QueueSpec;
import org.hibiscususher.core.escrow.EscrowQueries;
import org.hibiscususher.core.message.Outage;
import org.hibiscususher.core.message.Output.LogEvent;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.StoreRecord.HostRecord;
import org.hibiscususher.core.world.HostRow;
import org.hibiscususher.core.world.OutageRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/** Ends graceful shutdowns: finds the hosts whose slots are all back, and reports late ones. */
public final class DrainSystem {
    private static final int LATE_MARGIN_MS = 10_000;

    private DrainSystem() {}

    /** Marks idle hosts as idle and drops withdrawn ones. */
    public static void run(Tick tick) {
        if (!MaintenanceStep.due(tick)) {
            return;
        }
        World world = tick.world();
        Fleet.decidedPools(tick)
                .forEach(
                        (pool, hosts) ->
                                hosts.stream()
                                        .filter(h -> !h.stage().takesWork())
                                        .forEach(h -> settle(tick, pool, h)));
        for (OutageRow row : world.outages().rows()) {
            if (!row.outage().idle() && !row.reported() && late(tick, row)) {
                world.outages()
                        .put(
                                row.host(),
                                new OutageRow(row.host(), row.outage(), row.sinceMs(), true));
                tick.count("drain.late");
                tick.emit(new LogEvent("event=drain-late host=" + row.host()));
            }
        }
    }

    private static void settle(Tick tick, String pool, HostRow host) {
        World world = tick.world();
        String id = host.spec().id();
        Optional<HostRecord> record = Fleet.hostRecord(world, id);
        if (record.isEmpty() || !EscrowQueries.allSlotsReturned(world, id)) {
            return;
        }
        Optional<Outage> outage = Fleet.outage(world, id);
        if (outage.isPresent() && !outage.get().idle()) {
            Fleet.draftOutage(world, pool, id, outage.get().withIdle());
        }
        boolean withdrawn = !world.configuration().hosts().containsKey(id);
        if (withdrawn && Fleet.free(world, RecordKey.host(id))) {
            HostRecord next =
                    new HostRecord(id, "", record.get().declared(), record.get().generation() + 1);
            Fleet.draft(world, RecordKey.host(id), next);
        }
    }

    private static boolean late(Tick tick, OutageRow row) {
        return tick.nowMs() - row.sinceMs()
                > longestRunMs(tick.world(), row.host()) + LATE_MARGIN_MS;
    }

    private static int longestRunMs(World world, String host) {
        String pool = world.hosts().find(host).map(HostRow::pool).orElse("");
        return world.configuration().queues().values().stream()
                .filter(q -> q.pool().equals(pool))
                .mapToInt(QueueSpec::runLimitMs)
                .max()
                .orElse(0);
    }
}
