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

/** Takes permits out of the holdings for an attempt and gives them back. */
final class Permits {
    private Permits() {}

    /** Returns the permits that an attempt of a request on a host uses. */
    static List<PermitKey> needed(RequestRow row, String host) {
        List<PermitKey> keys = new ArrayList<>(neededOnAnyHost(row));
        keys.add(PermitKey.slot(row.pool(), host));
        return keys;
    }

    /** Returns the permits that an attempt of a request uses whatever the host. */
    static List<PermitKey> neededOnAnyHost(RequestRow row) {
        return neededOnAnyHost(row.schedulingClass());
    }

    /** Returns the permits that each attempt of a lane's requests uses whatever the host. */
    static List<PermitKey> neededOnAnyHost(SchedulingClass lane) {
        return lane.kind() == QueueKind.LONG
                ? List.of(PermitKey.unit(lane.team()), PermitKey.longRun(lane.pool()))
                : List.of(PermitKey.unit(lane.team()));
    }

    /** Returns how many slots of a pool are idle. */
    static int idleSlots(World world, String pool) {
        int idle = 0;
        for (HoldingRow holding : world.holdings().group(PermitGroup.pool(pool))) {
            idle += holding.key().kind() == PermitKind.SLOT ? holding.idle() : 0;
        }
        return idle;
    }

    /** Returns whether one permit of each kind is idle. */
    static boolean idle(World world, List<PermitKey> keys) {
        return keys.stream().allMatch(k -> idle(world, k) > 0);
    }

    /** Returns how many permits of a kind are idle. */
    static int idle(World world, PermitKey key) {
        return world.holdings().find(key).map(HoldingRow::idle).orElse(0);
    }

    /** Takes one permit of each kind into use. */
    static void use(World world, List<PermitKey> keys) {
        for (PermitKey key : keys) {
            world.holdings().update(key, h -> h.plusInUse(1));
        }
    }

    /** Gives back one permit of each kind. */
    static void release(World world, List<PermitKey> keys) {
        for (PermitKey key : keys) {
            world.holdings().update(key, h -> h.plusInUse(-1));
            world.allocatorBindings().update(key.permitGroup(), a -> a.withDueBy(0));
        }
    }
}
