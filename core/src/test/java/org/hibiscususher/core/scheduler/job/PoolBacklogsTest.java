package org.hibiscususher.core.scheduler.job;

import static org.assertj.core.api.Assertions.assertThat;

import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.scheduler.SchedulerWorlds;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.ZoneEvacuationRow;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PoolBacklogsTest {
    private static final long NOW_MS = 50_000;

    private final SchedulerWorld mWorld = SchedulerWorlds.ofOwner(NOW_MS);

    /** Guards against jobs that are accepted for executors which get no runs. */
    @Nested
    class OfAnEvacuatedZone {
        private long cpuMillis(long nowMs) {
            return PoolBacklogs.current(mWorld, "p", nowMs).cpuMillis();
        }

        @Test
        void haveNoCapacityAtOnceAndRegainIt() {
            SchedulerWorlds.addExecutor(mWorld, "x", "p", Resources.of(9_000, 1, 0), NOW_MS);
            assertThat(cpuMillis(NOW_MS)).isEqualTo(9_000);
            mWorld.zoneEvacuations().put("z", ZoneEvacuationRow.requested("z", NOW_MS));
            assertThat(cpuMillis(NOW_MS + 1)).isZero();
            mWorld.zoneEvacuations().update("z", row -> row.asRestoring(NOW_MS + 2));
            assertThat(cpuMillis(NOW_MS + 2)).isEqualTo(9_000);
        }
    }
}
