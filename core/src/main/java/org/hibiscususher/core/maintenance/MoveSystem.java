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
        if (!MaintenanceStep.due(tick) || !Fleet.current(tick)) {
            return;
        }
        placeNew(tick);
        Map<String, List<HostRow>> pools = Fleet.decidedPools(tick);
        pools.forEach((pool, hosts) -> hosts.forEach(h -> move(tick, pool, hosts, h)));
    }

    private static void placeNew(Tick tick) {
        World world = tick.world();
        int placed = 0;
        for (HostRow host : world.hosts().rows()) {
            String id = host.spec().id();
            boolean isNew = Fleet.hostRecord(world, id).isEmpty();
            if (placed == MAX_PLACED_PER_STEP) {
                return;
            }
            if (isNew
                    && Fleet.free(world, RecordKey.host(id))
                    && Fleet.responsible(world, host.spec().pool())) {
                long generation =
                        Fleet.lastHostRecord(world, id).map(HostRecord::generation).orElse(0L);
                String pool = host.spec().pool();
                Fleet.draft(
                        world, RecordKey.host(id), new HostRecord(id, pool, pool, generation + 1));
                placed++;
            }
        }
    }

    private static void move(Tick tick, String pool, List<HostRow> hosts, HostRow host) {
        World world = tick.world();
        String id = host.spec().id();
        HostSpec spec = world.configuration().hosts().get(id);
        Optional<HostRecord> record = Fleet.hostRecord(world, id);
        if (spec == null || record.isEmpty() || !Fleet.free(world, RecordKey.host(id))) {
            return;
        }
        Optional<Outage> outage = Fleet.outage(world, id);
        if (outage.isPresent()) {
            boolean written = Fleet.free(world, RecordKey.outages(pool));
            if (written && outage.get().reason() == OutageReason.MOVE && outage.get().idle()) {
                String target = targetOf(world, outage.get(), spec);
                rewrite(world, record.get(), target, spec);
                tick.count("host.moved");
            }
            return;
        }
        if (record.get().declared().equals(spec.pool())) {
            return;
        }
        if (record.get().pool().equals(spec.pool())) {
            rewrite(world, record.get(), spec.pool(), spec);
        } else if (Budget.allows(tick, pool, hosts, host)) {
            Outage move = Outage.move(record.get().generation(), spec.pool());
            Fleet.draftOutage(world, pool, id, move);
        }
    }

    private static String targetOf(World world, Outage outage, HostSpec spec) {
        return world.configuration().pools().containsKey(outage.target())
                ? outage.target()
                : spec.pool();
    }

    private static void rewrite(World world, HostRecord record, String pool, HostSpec spec) {
        HostRecord next = new HostRecord(record.host(), pool, spec.pool(), record.generation() + 1);
        Fleet.draft(world, RecordKey.host(record.host()), next);
    }
}
