package org.hibiscususher.core.scheduler.executor;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.TaskKey;
import org.hibiscususher.core.scheduler.SchedulerWorlds;
import org.hibiscususher.core.scheduler.message.ExecutorReport;
import org.hibiscususher.core.scheduler.message.HostReport;
import org.hibiscususher.core.scheduler.message.HostState;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.ExecutorSessionRow;
import org.hibiscususher.core.scheduler.world.HostListRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunStage;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StartKey;
import org.hibiscususher.core.scheduler.world.StopReason;
import org.hibiscususher.core.scheduler.world.UncertainStartRow;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A new list of hosts; executor x0 responds, x1 was used by an earlier owner and is silent. */
class LostExecutorSystemTest {
    private static final long NOW_MS = 10_000;
    private static final long REQUESTED_MS = NOW_MS - 20;

    private final SchedulerWorld mWorld = SchedulerWorlds.ofOwner(NOW_MS);

    @BeforeEach
    void setUp() {
        mWorld.hostList().set(new HostListRow(0, REQUESTED_MS, NOW_MS));
        addExecutor("x0", false, 0);
        addExecutor("x1", true, 1);
        addHost("h0", HostState.UP, "x0");
    }

    private static final TaskKey TASK = new StepKey("j", 0, 0).task(0);

    private void addExecutor(String id, boolean prior, int failures) {
        ExecutorReport report =
                new ExecutorReport(
                        id, "p", id + ":1", "z", "h", List.of(), Resources.NONE, false, 0, 1);
        mWorld.executors().put(id, new ExecutorRow(report, 0, 0, prior, true, false, 0));
        ExecutorSessionRow session = ExecutorSessionRow.initial(id, NOW_MS + 4_000);
        mWorld.executorSessions()
                .put(id, failures == 0 ? session : session.withHeartbeatFailed(NOW_MS));
    }

    private void addHost(String id, HostState state, String executorId) {
        mWorld.hosts()
                .put(
                        id,
                        new HostReport(id, "p", state, "z", List.of(), Resources.NONE, executorId));
    }

    private boolean isRemoved() {
        LostExecutorSystem.run(new SchedulerTick(mWorld, NOW_MS, NOW_MS, List.of(), () -> 1));
        assertThat(mWorld.executors().contains("x0")).isTrue();
        return !mWorld.executors().contains("x1");
    }

    @Nested
    class Removes {
        @Test
        void silentExecutorOnNoHost() {
            addHost("h1", HostState.MOVING, "");
            assertThat(isRemoved()).isTrue();
        }

        @Test
        void silentExecutorOnHostThatIsDown() {
            addHost("h1", HostState.DOWN, "x1");
            assertThat(isRemoved()).isTrue();
        }
    }

    @Nested
    class Keeps {
        /** It may still run behind a network partition. */
        @Test
        void silentExecutorOnHostThatIsUp() {
            addHost("h1", HostState.UP, "x1");
            assertThat(isRemoved()).isFalse();
        }

        @Test
        void waitsForTheLeaseIfItsHostIsInAnUnknownState() {
            addHost("h1", HostState.UNKNOWN, "x1");
            assertThat(isRemoved()).isFalse();
        }

        @Test
        void executorThatRespondedAfterListWasRequested() {
            mWorld.executorSessions()
                    .update(
                            "x1",
                            c ->
                                    c.withHeartbeatAnswered(1, 1, REQUESTED_MS + 5)
                                            .withHeartbeatFailed(NOW_MS));
            assertThat(isRemoved()).isFalse();
        }

        /** It may have restarted since; the list shows the host while it was down. */
        @Test
        void executorThatAnsweredAnOrderAfterListWasRequested() {
            addHost("h1", HostState.DOWN, "x1");
            addSentRun();
            mWorld.runs().update(TASK, run -> run.asRunning(REQUESTED_MS + 5));
            assertThat(isRemoved()).isFalse();
        }

        /** Its host may be back under the same id when the order arrives. */
        @Test
        void executorToWhichAStartIsOnItsWay() {
            addHost("h1", HostState.DOWN, "x1");
            addSentRun();
            assertThat(isRemoved()).isFalse();
        }

        @Test
        void executorWithAStartThatWasFoundUnansweredAfterListWasRequested() {
            addHost("h1", HostState.DOWN, "x1");
            StartKey start = new StartKey(TASK, 1);
            mWorld.uncertainStarts()
                    .put(start, new UncertainStartRow(start, "x1", REQUESTED_MS + 5, false, 0));
            assertThat(isRemoved()).isFalse();
        }

        /** A later owner may have adopted its runs. */
        @Test
        void executorOfAnOwnerThatMayHaveBeenReplaced() {
            addHost("h1", HostState.DOWN, "x1");
            mWorld.term().set(mWorld.term().get().withValidUntil(NOW_MS - 1));
            assertThat(isRemoved()).isFalse();
        }

        private void addSentRun() {
            mWorld.runs()
                    .put(
                            TASK,
                            new RunRow(
                                    TASK,
                                    1,
                                    "x1",
                                    "team",
                                    Resources.NONE,
                                    Resources.NONE,
                                    RunStage.SENT,
                                    StopReason.NONE,
                                    1,
                                    REQUESTED_MS,
                                    0,
                                    "",
                                    0,
                                    -1,
                                    100,
                                    0));
        }

        @Test
        void allExecutorsIfListNamesNone() {
            mWorld.hosts().clear();
            assertThat(isRemoved()).isFalse();
        }

        @Test
        void allExecutorsUntilNewListArrives() {
            mWorld.hostList().set(new HostListRow(0, REQUESTED_MS - 500, NOW_MS - 480));
            assertThat(isRemoved()).isFalse();
        }
    }
}
