package org.hibiscususher.core.maintenance;

import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/**
 * Decides in which ticks the maintenance systems run.
 *
 * <p>They go over all hosts, which takes too long for every tick. All of them run in the same
 * ticks.
 */
final class MaintenanceSchedule {
    /** Least time between two runs of the maintenance systems. */
    private static final int INTERVAL_MS = 100;

    private MaintenanceSchedule() {}

    /** Returns whether the maintenance systems run in this tick. */
    static boolean isDue(Tick tick) {
        long lastRunMs = tick.world().fleetSync().maintenanceRunMs();
        return lastRunMs < 0 || tick.nowMs() - lastRunMs >= INTERVAL_MS;
    }

    /** Records that all maintenance systems have run in this tick, if they were due. */
    static void complete(Tick tick) {
        if (isDue(tick)) {
            tick.world()
                    .fleetSyncTable()
                    .update(World.SELF, s -> s.withMaintenanceRun(tick.nowMs()));
        }
    }
}
