package org.hibiscususher.core.scheduler.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.scheduler.SchedulerWorlds;
import org.hibiscususher.core.scheduler.message.ExecutorReport;
import org.hibiscususher.core.scheduler.message.HostReport;
import org.hibiscususher.core.scheduler.message.HostState;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.ExecutorSessionRow;
import org.hibiscususher.core.scheduler.world.HostOrderRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.ZoneEvacuationRow;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Two pools ask for hosts at the same time; a third pool needs two of its three hosts. */
class MovableHostsTest {
    private static final long NOW_MS = 100_000;
    private static final long HOST_CPU = 64_000;
    private static final Resources CAPACITY = Resources.of(HOST_CPU, 1_000, 0);

    private final SchedulerWorld mWorld = SchedulerWorlds.ofOwner(NOW_MS);

    @BeforeEach
    void setUp() {
        for (int i = 0; i < 3; i++) {
            addHost("h" + i, "x" + i);
            addExecutor("x" + i, 1_000);
        }
    }

    private void addHost(String id, String executorId) {
        mWorld.hosts()
                .put(
                        id,
                        new HostReport(
                                id, "calm", HostState.UP, "z", List.of(), CAPACITY, executorId));
    }

    private void addExecutor(String id, long seenMs) {
        ExecutorReport report =
                new ExecutorReport(
                        id, "calm", id + ":1", "z", "h", List.of(), CAPACITY, false, 0, 0);
        mWorld.executors().put(id, new ExecutorRow(report, seenMs, 0, false, true, false, 0));
        mWorld.executorSessions()
                .put(id, ExecutorSessionRow.initial(id, 0).withHeartbeatAnswered(1, 1, NOW_MS));
    }

    private MovableHosts select() {
        return select(
                Map.of(
                        "calm",
                        new PoolDemand("calm", 3, 2 * HOST_CPU, 0, 3 * HOST_CPU, 0, 0, 0, 0)));
    }

    private MovableHosts select(Map<String, PoolDemand> demands) {
        return MovableHosts.select(
                new SchedulerTick(mWorld, NOW_MS, NOW_MS, List.of(), () -> 1),
                demands,
                0,
                HOST_CPU);
    }

    @Nested
    class PollHostFor {
        @Test
        void returnsNoMoreHostsThanTheSurplus() {
            MovableHosts movable = select();
            assertThat(movable.pollHostFor("first")).isPresent();
            assertThat(movable.pollHostFor("second")).isEmpty();
        }

        @Test
        void returnsNoHostOfTheSamePool() {
            assertThat(select().pollHostFor("calm")).isEmpty();
        }

        /** Accepted jobs may still wait in a pool that a later configuration has withdrawn. */
        @Test
        void returnsNoHostOfAPoolThatIsNotDeclared() {
            MovableHosts movable = select(Map.of());
            assertThat(movable.pollHostFor("first")).isEmpty();
        }

        @Test
        void skipsHostThatJoinedJustNow() {
            for (int i = 0; i < 3; i++) {
                addExecutor("x" + i, NOW_MS - 500);
            }
            assertThat(select().pollHostFor("first")).isEmpty();
        }

        @Test
        void skipsHostWhoseRunsAreUnknown() {
            for (int i = 0; i < 3; i++) {
                mWorld.executorSessions().put("x" + i, ExecutorSessionRow.initial("x" + i, 0));
            }
            assertThat(select().pollHostFor("first")).isEmpty();
        }

        /** A host that moves gets runs in its new pool, so one of an evacuated zone must stay. */
        @Test
        void skipsHostsOfAnEvacuatedZone() {
            mWorld.zoneEvacuations().put("z", ZoneEvacuationRow.requested("z", NOW_MS));
            assertThat(select().pollHostFor("first")).isEmpty();
            mWorld.zoneEvacuations().remove("z");
            assertThat(select().pollHostFor("first")).isPresent();
        }

        @Test
        void skipsHostThatTheEarlierOwnerMayHaveOrdered() {
            for (int i = 0; i < 3; i++) {
                mWorld.hostOrders()
                        .put("h" + i, new HostOrderRow("h" + i, true, NOW_MS + 1, NOW_MS));
            }
            assertThat(select().pollHostFor("first")).isEmpty();
        }
    }
}
