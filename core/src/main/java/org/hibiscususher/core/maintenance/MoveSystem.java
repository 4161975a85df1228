package org.hibiscususher.core.maintenance;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hibiscususher.core.config.HostSpec;
import org.hibiscususher.core.message.Outage;
import org.hibiscususher.core.message.OutageReason;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.StoreRecord.HostRecord;
import org.hibiscususher.core.world.HostRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/**
 * Brings hosts into the pools in which they are declared.
 *
 * <p>A move is: take the host out of service in its pool, wait until it is idle, write its new pool
 * by one compare-and-swap. The outage in the old pool names the generation of the host's record, so
 * that it ends with that write.
 */
public final class MoveSystem {
    private static final int MAX_PLACED_PER_STEP = 5;

    private MoveSystem() {}

    /** Places new hosts and moves others one step on. */
    public static void run(Tick tick) {
        if (!MaintenanceSchedule.isDue(tick) || !FleetRecords.isCurrent(tick)) {
            return;
        }
        assignNewHosts(tick);
        Map<String, List<HostRow>> pools = FleetRecords.decidablePools(tick);
        pools.forEach((pool, hosts) -> hosts.forEach(h -> advance(tick, pool, hosts, h)));
    }

    private static void assignNewHosts(Tick tick) {
        World world = tick.world();
        int placed = 0;
        for (HostRow host : world.hosts().rows()) {
            String id = host.spec().id();
            boolean isNew = FleetRecords.hostRecord(world, id).isEmpty();
            if (placed == MAX_PLACED_PER_STEP) {
                return;
            }
            if (isNew
                    && FleetRecords.canDraft(world, RecordKey.host(id))
                    && FleetRecords.isResponsible(world, host.spec().pool())) {
                long generation =
                        FleetRecords.lastHostRecord(world, id)
                                .map(HostRecord::generation)
                                .orElse(0L);
                String pool = host.spec().pool();
                FleetRecords.draft(
                        world, RecordKey.host(id), new HostRecord(id, pool, pool, generation + 1));
                placed++;
            }
        }
    }

    private static void advance(Tick tick, String pool, List<HostRow> hosts, HostRow host) {
        World world = tick.world();
        String id = host.spec().id();
        HostSpec spec = world.configuration().hosts().get(id);
        Optional<HostRecord> record = FleetRecords.hostRecord(world, id);
        if (spec == null || record.isEmpty() || !FleetRecords.canDraft(world, RecordKey.host(id))) {
            return;
        }
        Optional<Outage> outage = FleetRecords.outage(world, id);
        if (outage.isPresent()) {
            boolean written = FleetRecords.canDraft(world, RecordKey.outages(pool));
            if (written && outage.get().reason() == OutageReason.MOVE && outage.get().idle()) {
                String target = targetPool(world, outage.get(), spec);
                draftPool(world, record.get(), target, spec);
                tick.count("host.moved");
            }
            return;
        }
        if (record.get().declared().equals(spec.pool())) {
            return;
        }
        if (record.get().pool().equals(spec.pool())) {
            draftPool(world, record.get(), spec.pool(), spec);
        } else if (BudgetCheck.allows(tick, pool, hosts, host)) {
            Outage move = Outage.move(record.get().generation(), spec.pool());
            FleetRecords.draftOutage(world, pool, id, move);
        }
    }

    private static String targetPool(World world, Outage outage, HostSpec spec) {
        return world.configuration().pools().containsKey(outage.target())
                ? outage.target()
                : spec.pool();
    }

    private static void draftPool(World world, HostRecord record, String pool, HostSpec spec) {
        HostRecord next = new HostRecord(record.host(), pool, spec.pool(), record.generation() + 1);
        FleetRecords.draft(world, RecordKey.host(record.host()), next);
    }
}
