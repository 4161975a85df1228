package org.hibiscususher.core.request;

import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.config.QueueKind;
import org.hibiscususher.core.message.PermitGroup;
import org.hibiscususher.core.message.PermitKey;
import org.hibiscususher.core.message.PermitKind;
import org.hibiscususher.core.world.HoldingRow;
import org.hibiscususher.core.world.RequestRow;
import org.hibiscususher.core.world.SchedulingClass;
import org.hibiscususher.core.world.World;

/** Marks permits that this entry holds as in use by an attempt, and as idle again. */
final class Permits {
    private Permits() {}

    /** Returns the permits that an attempt of a request on the given host uses. */
    static List<PermitKey> needed(RequestRow row, String host) {
        List<PermitKey> keys = new ArrayList<>(neededOnAnyHost(row));
        keys.add(PermitKey.slot(row.pool(), host));
        return keys;
    }

    /** Returns the permits that an attempt of a request uses whatever the host. */
    static List<PermitKey> neededOnAnyHost(RequestRow row) {
        return neededOnAnyHost(row.schedulingClass());
    }

    /**
     * Returns the permits that an attempt of any request of a scheduling class uses whatever the
     * host.
     */
    static List<PermitKey> neededOnAnyHost(SchedulingClass schedulingClass) {
        return schedulingClass.kind() == QueueKind.LONG
                ? List.of(
                        PermitKey.unit(schedulingClass.team()),
                        PermitKey.longRun(schedulingClass.pool()))
                : List.of(PermitKey.unit(schedulingClass.team()));
    }

    /** Returns how many slots of a pool this entry holds and does not use. */
    static int idleSlots(World world, String pool) {
        int idle = 0;
        for (HoldingRow holding : world.holdings().group(PermitGroup.pool(pool))) {
            idle += holding.key().kind() == PermitKind.SLOT ? holding.idle() : 0;
        }
        return idle;
    }

    /** Returns whether this entry holds an idle permit of every given key. */
    static boolean idle(World world, List<PermitKey> keys) {
        return keys.stream().allMatch(k -> idle(world, k) > 0);
    }

    /** Returns how many permits of a key this entry holds and does not use. */
    static int idle(World world, PermitKey key) {
        return world.holdings().find(key).map(HoldingRow::idle).orElse(0);
    }

    /** Marks one permit of each key as in use; each must have an idle one. */
    static void use(World world, List<PermitKey> keys) {
        for (PermitKey key : keys) {
            world.holdings().update(key, h -> h.plusInUse(1));
        }
    }

    /**
     * Marks one permit of each key as idle again.
     *
     * <p>The bindings to the allocators fall due at once, so that permits which are needed
     * elsewhere are returned without delay.
     */
    static void release(World world, List<PermitKey> keys) {
        for (PermitKey key : keys) {
            world.holdings().update(key, h -> h.plusInUse(-1));
            world.allocatorBindings().update(key.permitGroup(), a -> a.withDueBy(0));
        }
    }
}
