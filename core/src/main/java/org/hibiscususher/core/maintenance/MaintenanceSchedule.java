package org.hibiscususher.core.maintenance;

import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/** Spaces the decisions of maintenance, which go over all hosts. */
final class MaintenanceSchedule {
    private static final int INTERVAL_MS = 100;

    private MaintenanceSchedule() {}

    /** Returns whether the decisions are due in this tick. */
    static boolean isDue(Tick tick) {
        long steppedMs = tick.world().fleetSync().steppedMs();
        return steppedMs < 0 || tick.nowMs() - steppedMs >= INTERVAL_MS;
    }

    /** Notes that the decisions of this tick have been made. */
    static void complete(Tick tick) {
        if (isDue(tick)) {
            tick.world().fleetSyncTable().update(World.SELF, s -> s.stepped(tick.nowMs()));
        }
    }
}
