package org.hibiscususher.core.scheduler.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobRequestKind;
import org.hibiscususher.core.scheduler.SchedulerWorlds;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ConnectionsDrained;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ShutdownRequested;
import org.hibiscususher.core.scheduler.message.SchedulerOutput;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.DrainConnections;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Log;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Terminate;
import org.hibiscususher.core.scheduler.world.PendingRequestRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TermRow;
import org.hibiscususher.core.scheduler.world.TermStage;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** An owner that was asked to stop. */
class NodeLifecycleSystemTest {
    private static final long NOW_MS = 10_000;
    private static final long NOTICED_MS = NOW_MS + 2_601;
    private static final long LATER_MS = NOW_MS + 60_000;

    private final SchedulerWorld mWorld = SchedulerWorlds.ofOwner(NOW_MS);
    private long mCalls;

    /** Runs the system; returns its outputs without the log lines. */
    private List<SchedulerOutput> runSystem(long nowMs, SchedulerInput... inputs) {
        SchedulerTick tick =
                new SchedulerTick(mWorld, nowMs, nowMs, List.of(inputs), () -> ++mCalls);
        NodeLifecycleSystem.run(tick);
        return tick.outputs().stream().filter(output -> !(output instanceof Log)).toList();
    }

    private void releaseOwnership() {
        mWorld.term().set(TermRow.initial());
    }

    @BeforeEach
    void stop() {
        runSystem(NOW_MS, new ShutdownRequested());
    }

    @Nested
    class Ownership {
        @Test
        void isReleasedAtOnce() {
            assertThat(mWorld.term().get().stage()).isEqualTo(TermStage.RELEASING);
        }

        @Test
        void keepsTheProcessUntilItIsReleased() {
            runSystem(NOTICED_MS);
            assertThat(runSystem(NOTICED_MS, new ConnectionsDrained())).isEmpty();
            releaseOwnership();
            assertThat(runSystem(LATER_MS)).containsExactly(new Terminate());
        }
    }

    @Nested
    class Connections {
        @Test
        void areKeptUntilTheBalancerHasNoticed() {
            assertThat(runSystem(NOTICED_MS - 1)).isEmpty();
            assertThat(runSystem(NOTICED_MS)).containsExactly(new DrainConnections());
        }

        @Test
        void areDrainedOnce() {
            runSystem(NOTICED_MS);
            assertThat(runSystem(LATER_MS)).isEmpty();
        }

        @Test
        void keepTheProcessUntilTheyAreDrained() {
            releaseOwnership();
            runSystem(NOTICED_MS);
            assertThat(runSystem(LATER_MS)).isEmpty();
            assertThat(runSystem(LATER_MS, new ConnectionsDrained()))
                    .containsExactly(new Terminate());
        }
    }

    @Nested
    class RequestsOfOtherEntries {
        @Test
        void areAnsweredIfTheyArriveBetweenTheDrainAndTheRelease() {
            runSystem(NOTICED_MS);
            runSystem(NOTICED_MS, new ConnectionsDrained());
            JobRequest request =
                    JobRequest.of(JobRequestKind.QUERY, "c", "/queue/", "", Optional.empty());
            mWorld.pendingRequests()
                    .put(1L, PendingRequestRow.received(1, request, LATER_MS, LATER_MS));
            releaseOwnership();
            assertThat(runSystem(LATER_MS)).isEmpty();
            mWorld.pendingRequests().remove(1L);
            assertThat(runSystem(LATER_MS)).containsExactly(new Terminate());
        }
    }

    @Nested
    class TakeoverDuringTheStop {
        private SchedulerWorld mLoading;

        private List<SchedulerOutput> runLoading(long nowMs, SchedulerInput... inputs) {
            SchedulerTick tick =
                    new SchedulerTick(mLoading, nowMs, nowMs, List.of(inputs), () -> ++mCalls);
            NodeLifecycleSystem.run(tick);
            return tick.outputs().stream().filter(output -> !(output instanceof Log)).toList();
        }

        private void setStage(TermStage stage) {
            mLoading.term().set(mLoading.term().get().withStage(stage));
        }

        @BeforeEach
        void stopWhileLoading() {
            mLoading = SchedulerWorlds.ofOwner(NOW_MS);
            setStage(TermStage.LOADING);
            runLoading(NOW_MS, new ShutdownRequested());
        }

        @Test
        void releasesTheOwnershipOnceItIsTakenOver() {
            setStage(TermStage.OWNING);
            runLoading(NOW_MS + 100);
            assertThat(mLoading.term().get().stage()).isEqualTo(TermStage.RELEASING);
        }

        @Test
        void keepsTheProcessUntilTheOwnershipIsReleased() {
            runLoading(NOTICED_MS);
            assertThat(runLoading(NOTICED_MS, new ConnectionsDrained())).isEmpty();
        }
    }
}
