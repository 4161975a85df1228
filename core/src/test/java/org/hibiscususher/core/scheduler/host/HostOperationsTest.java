package org.hibiscususher.core.scheduler.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.scheduler.SchedulerWorlds;
import org.hibiscususher.core.scheduler.message.HostReport;
import org.hibiscususher.core.scheduler.message.HostState;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.ZoneEvacuationRow;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HostOperationsTest {
    private static final long NOW_MS = 50_000;
    private static final Resources CAPACITY = Resources.of(9_000, 1, 0);

    private final SchedulerWorld mWorld = SchedulerWorlds.ofOwner(NOW_MS);
    private final HostReport mHost =
            new HostReport("h", "p", HostState.UP, "z", List.of(), CAPACITY, "x");
    private final SchedulerTick mTick =
            new SchedulerTick(mWorld, NOW_MS, NOW_MS, List.of(), () -> 7);

    @BeforeEach
    void addHost() {
        SchedulerWorlds.addExecutor(mWorld, "x", "p", CAPACITY, NOW_MS);
        mWorld.hosts().put("h", mHost);
    }

    private void advance() {
        HostOperations.advance(mTick, mWorld.hostOperations().find("h").orElseThrow());
    }

    private boolean isCordoned() {
        return mWorld.executors().find("x").orElseThrow().cordoned();
    }

    /** Guards against hosts that leave an evacuated zone's plan only after they have moved. */
    @Nested
    class InAnEvacuatedZone {
        @BeforeEach
        void evacuate() {
            mWorld.zoneEvacuations().put("z", ZoneEvacuationRow.requested("z", NOW_MS));
        }

        @Test
        void endIfTheyAreMovesWithoutAnOrder() {
            HostOperations.begin(mTick, mHost, 0, "other");
            advance();
            assertThat(mWorld.hostOperations().size()).isZero();
            assertThat(isCordoned()).isFalse();
        }

        @Test
        void continueIfTheyBelongToAWave() {
            HostOperations.begin(mTick, mHost, 3, "");
            advance();
            assertThat(mWorld.hostOperations().size()).isEqualTo(1);
            assertThat(isCordoned()).isTrue();
        }
    }

    @Nested
    class Elsewhere {
        @Test
        void moveOn() {
            HostOperations.begin(mTick, mHost, 0, "other");
            advance();
            assertThat(mWorld.hostOperations().size()).isEqualTo(1);
        }
    }
}
