package org.hibiscususher.core.scheduler.world;

import org.hibiscususher.core.job.Resources;

/** How much work the executors of a zone may get that operators have evacuated. */
public enum ZoneStage {
    /** The evacuation is in force: no runs start in the zone. */
    EVACUATED {
        @Override
        Resources startLimit(Resources capacity) {
            return Resources.NONE;
        }
    },
    /** The evacuation was withdrawn a moment ago: runs start again, a part of them at a time. */
    RESTORING {
        @Override
        Resources startLimit(Resources capacity) {
            return new Resources(
                    capacity.cpuMillis() / RESTORE_PARTS,
                    capacity.memoryMb() / RESTORE_PARTS,
                    (capacity.gpus() + RESTORE_PARTS - 1) / RESTORE_PARTS);
        }
    };

    /** Parts in which the capacity of an executor is filled after an evacuation. */
    private static final int RESTORE_PARTS = 4;

    /** Returns what the runs that start on an executor within one interval may reserve. */
    abstract Resources startLimit(Resources capacity);
}
