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

/**
 * Completes the draining of hosts: detects hosts whose slots have all been returned, and reports
 * hosts that drain for longer than the run limits of their pool allow.
 */
public final class DrainSystem {
    /** Time beyond the longest run limit before a draining host is reported as late. */
    private static final int LATE_MARGIN_MS = 10_000;

    private DrainSystem() {}

    /**
     * Records which draining hosts are idle, removes idle ones that are withdrawn from the
     * configuration, and reports late ones once.
     */
    public static void run(Tick tick) {
        if (!MaintenanceSchedule.isDue(tick)) {
            return;
        }
        World world = tick.world();
        FleetRecords.decidablePools(tick)
                .forEach(
                        (pool, hosts) ->
                                hosts.stream()
                                        .filter(h -> !h.stage().acceptsWork())
                                        .forEach(h -> finishDrain(tick, pool, h)));
        for (OutageRow row : world.outages().rows()) {
            if (!row.outage().idle() && !row.reported() && isOverdue(tick, row)) {
                world.outages()
                        .put(
                                row.host(),
                                new OutageRow(row.host(), row.outage(), row.sinceMs(), true));
                tick.count("drain.late");
                tick.emit(new LogEvent("event=drain-late host=" + row.host()));
            }
        }
    }

    /**
     * Records that a draining host is idle, once all its slots have been returned; if it is
     * withdrawn from the configuration, removes it from its pool.
     */
    private static void finishDrain(Tick tick, String pool, HostRow host) {
        World world = tick.world();
        String id = host.spec().id();
        Optional<HostRecord> record = FleetRecords.hostRecord(world, id);
        if (record.isEmpty() || !EscrowQueries.allSlotsReturned(world, id)) {
            return;
        }
        Optional<Outage> outage = FleetRecords.outage(world, id);
        if (outage.isPresent() && !outage.get().idle()) {
            FleetRecords.draftOutage(world, pool, id, outage.get().withIdle());
        }
        boolean withdrawn = !world.configuration().hosts().containsKey(id);
        if (withdrawn && FleetRecords.canDraft(world, RecordKey.host(id))) {
            HostRecord next =
                    new HostRecord(
                            id, "", record.get().declaredPool(), record.get().generation() + 1);
            FleetRecords.draft(world, RecordKey.host(id), next);
        }
    }

    private static boolean isOverdue(Tick tick, OutageRow row) {
        return tick.nowMs() - row.sinceMs()
                > maxRunLimitMs(tick.world(), row.host()) + LATE_MARGIN_MS;
    }

    /** Returns the longest run limit of the queues of the pool that a host serves, 0 if none. */
    private static int maxRunLimitMs(World world, String host) {
        String pool = world.hosts().find(host).map(HostRow::pool).orElse("");
        return world.configuration().queues().values().stream()
                .filter(q -> q.pool().equals(pool))
                .mapToInt(QueueSpec::runLimitMs)
                .max()
                .orElse(0);
    }
}
