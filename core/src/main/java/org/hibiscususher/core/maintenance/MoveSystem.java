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
 * Assigns hosts to the pools in which they are declared.
 *
 * <p>A move takes the host out of service in its pool, waits until it is idle, and then writes its
 * new pool by one compare-and-swap. So a host never runs work of two pools at the same time. The
 * outage in the old pool names the generation of the host's record and ends with that write: no
 * second write is needed that could be lost.
 */
public final class MoveSystem {
    /** Bounds the writes to the store when many hosts are declared at once. */
    private static final int MAX_ASSIGNED_PER_STEP = 5;

    private MoveSystem() {}

    /** Assigns new hosts to their pools and advances the moves of the others by one step. */
    public static void run(Tick tick) {
        if (!MaintenanceSchedule.isDue(tick) || !FleetRecords.isCurrent(tick)) {
            return;
        }
        assignNewHosts(tick);
        Map<String, List<HostRow>> pools = FleetRecords.decidablePools(tick);
        pools.forEach((pool, hosts) -> hosts.forEach(h -> advance(tick, pool, hosts, h)));
    }

    /**
     * Drafts the records of hosts that have none or were withdrawn, for the pools that this entry
     * is responsible for.
     */
    private static void assignNewHosts(Tick tick) {
        World world = tick.world();
        int assigned = 0;
        for (HostRow host : world.hosts().rows()) {
            String id = host.spec().id();
            boolean isNew = FleetRecords.hostRecord(world, id).isEmpty();
            if (assigned == MAX_ASSIGNED_PER_STEP) {
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
                assigned++;
            }
        }
    }

    /**
     * Advances a host by one step: assigns an idle host to the pool that it moves to, or takes a
     * host out of service whose declared pool has changed.
     *
     * <p>A host that is lent has another pool than the declared one, but stays until its
     * declaration changes; {@link LendSystem} sends it back.
     */
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
            boolean outagesWritten = FleetRecords.canDraft(world, RecordKey.outages(pool));
            if (outagesWritten
                    && outage.get().reason() == OutageReason.MOVE
                    && outage.get().idle()) {
                String target = targetPool(world, outage.get(), spec);
                draftPool(world, record.get(), target, spec);
                tick.count("host.moved");
            }
            return;
        }
        if (record.get().declaredPool().equals(spec.pool())) {
            return;
        }
        if (record.get().pool().equals(spec.pool())) {
            draftPool(world, record.get(), spec.pool(), spec);
        } else if (BudgetCheck.allows(tick, pool, hosts, host)) {
            Outage move = Outage.move(record.get().generation(), spec.pool());
            FleetRecords.draftOutage(world, pool, id, move);
        }
    }

    /** Returns the pool that a move leads to: its target, or the declared pool if that is gone. */
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
