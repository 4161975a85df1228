package org.hibiscususher.core.scheduler.estimate;

import static org.assertj.core.api.Assertions.assertThat;

import java.math.BigInteger;
import java.util.List;
import java.util.Set;
import org.hibiscususher.core.job.FinishedRun;
import org.hibiscususher.core.job.JobAddress;
import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.RunOutcome;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.SchedulerWorlds;
import org.hibiscususher.core.scheduler.message.ExecutorReport;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunStage;
import org.hibiscususher.core.scheduler.world.RunTimeRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StepRow;
import org.hibiscususher.core.scheduler.world.StopReason;
import org.hibiscususher.core.scheduler.world.TaskRow;
import org.hibiscususher.core.scheduler.world.TaskState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A run of a job of one step, which started 700 ms ago, ends. */
class RunSamplingTest {
    private static final long NOW_MS = 10_000;
    private static final long DURATION_MS = 700;
    private static final Resources CORE = Resources.of(1_000, 100, 0);
    private static final StepKey STEP = new StepKey("b", 0, 0);

    /** Number of the first run of a task in the generation of the tables. */
    private static final int FIRST_RUN = 1_001;

    private final SchedulerWorld mWorld = SchedulerWorlds.ofOwner(NOW_MS);

    @BeforeEach
    void setUp() {
        addJob(false, spec(2, false, "", false));
        addExecutor("x", List.of("rack-1"));
        addExecutor("y", List.of("rack-2"));
        addRun(0, "x");
        addRun(1, "x");
    }

    private static StepSpec spec(int count, boolean gang, String dataRack, boolean bestEffort) {
        return new StepSpec(
                count,
                CORE,
                500,
                List.of(),
                true,
                gang,
                false,
                "",
                dataRack,
                0,
                false,
                false,
                "",
                0,
                bestEffort,
                0);
    }

    private void addJob(boolean inherited, StepSpec spec) {
        StoredRecord.Job record =
                new StoredRecord.Job(
                        "b",
                        new JobPolicy("q", "p", 0, 2, 1, 500, false),
                        JobAddress.UNKNOWN,
                        "team",
                        JobSpec.once("run", List.of(spec)),
                        0);
        JobRow job =
                inherited
                        ? JobRow.inherited(record, 0, NOW_MS)
                        : JobRow.received(record, 0).asStored();
        mWorld.jobs().put("b", job);
        mWorld.steps().put(STEP, new StepRow(STEP, BigInteger.ZERO, spec.count(), 0));
    }

    private void addExecutor(String id, List<String> labels) {
        ExecutorReport report =
                new ExecutorReport(id, "p", id + ":1", "z", "h", labels, CORE, false, 0, 0);
        SchedulerWorlds.addExecutor(mWorld, id, "p", CORE, NOW_MS);
        mWorld.executors().put(id, new ExecutorRow(report, 1, 0, false, true, false, 0));
    }

    private void addRun(int index, String executor) {
        mWorld.tasks()
                .put(
                        STEP.task(index),
                        new TaskRow(
                                STEP.task(index),
                                "p",
                                TaskState.ACTIVE,
                                FIRST_RUN,
                                Set.of(),
                                "",
                                0,
                                0,
                                "",
                                false));
        mWorld.runs()
                .put(
                        STEP.task(index),
                        new RunRow(
                                STEP.task(index),
                                FIRST_RUN,
                                executor,
                                "team",
                                CORE,
                                CORE,
                                RunStage.RUNNING,
                                StopReason.NONE,
                                0,
                                NOW_MS - DURATION_MS - 100,
                                NOW_MS - DURATION_MS,
                                "saved",
                                90,
                                -1,
                                100,
                                NOW_MS));
    }

    private List<RunTimeSample> samplesAfter(RunOutcome outcome) {
        return samplesAfter(outcome, 0);
    }

    private List<RunTimeSample> samplesAfter(RunOutcome outcome, int index) {
        RunRow run = mWorld.runs().find(STEP.task(index)).orElseThrow();
        RunSampling.record(
                new SchedulerTick(mWorld, NOW_MS, NOW_MS, List.of(), () -> 1),
                new FinishedRun(1, run.task(), run.run(), outcome, ""),
                run);
        return mWorld.runTimes().rows().stream()
                .map(RunTimeRow::samples)
                .flatMap(List::stream)
                .toList();
    }

    @Nested
    class Counts {
        @Test
        void fromTheAnswerToItsStartOrder() {
            assertThat(samplesAfter(RunOutcome.DONE))
                    .containsExactly(new RunTimeSample("x", DURATION_MS, 500));
        }

        @Test
        void nearItsData() {
            addJob(false, spec(2, false, "rack-1", false));
            assertThat(samplesAfter(RunOutcome.DONE)).hasSize(1);
        }

        @Test
        void asGangOnOneExecutor() {
            addJob(false, spec(2, true, "", false));
            assertThat(samplesAfter(RunOutcome.DONE)).hasSize(1);
        }
    }

    @Nested
    class SaysNothing {
        @ParameterizedTest
        @EnumSource(value = RunOutcome.class, mode = EnumSource.Mode.EXCLUDE, names = "DONE")
        void unlessItIsDone(RunOutcome outcome) {
            assertThat(samplesAfter(outcome)).isEmpty();
        }

        /** Guards against two wide jobs that fill a window with their own errors. */
        @Test
        void asAnotherTaskOfAStepThatIsSampled() {
            addRun(1, "x");
            assertThat(samplesAfter(RunOutcome.DONE, 1)).isEmpty();
        }

        @Test
        void onceItWasOrderedToStop() {
            mWorld.runs()
                    .update(
                            STEP.task(0),
                            r ->
                                    r.asStopping(StopReason.STALLED, 1, NOW_MS)
                                            .withOrderAnswered(NOW_MS));
            assertThat(samplesAfter(RunOutcome.DONE)).isEmpty();
        }

        @Test
        void afterAFailure() {
            mWorld.tasks().update(STEP.task(0), t -> t.withFailure(1, "y"));
            assertThat(samplesAfter(RunOutcome.DONE)).isEmpty();
        }

        @Test
        void fromACheckpoint() {
            mWorld.tasks()
                    .update(STEP.task(0), t -> t.asWaiting(NOW_MS, 0, "saved").asActive(FIRST_RUN));
            assertThat(samplesAfter(RunOutcome.DONE)).isEmpty();
        }

        /** An earlier owner may have started it, longer ago than this one knows. */
        @Test
        void ofAnInheritedJob() {
            addJob(true, spec(2, false, "", false));
            assertThat(samplesAfter(RunOutcome.DONE)).isEmpty();
        }

        @Test
        void onAQuarantinedExecutor() {
            mWorld.executorSessions().update("x", s -> s.quarantinedUntil(NOW_MS + 1));
            assertThat(samplesAfter(RunOutcome.DONE)).isEmpty();
        }

        @Test
        void farFromItsData() {
            addJob(false, spec(2, false, "rack-2", false));
            assertThat(samplesAfter(RunOutcome.DONE)).isEmpty();
        }

        @Test
        void asGangThatIsSpreadOverRacks() {
            addJob(false, spec(2, true, "", false));
            addRun(1, "y");
            assertThat(samplesAfter(RunOutcome.DONE)).isEmpty();
        }

        @Test
        void withProcessorTimeThatOthersLeave() {
            addJob(false, spec(2, false, "", true));
            assertThat(samplesAfter(RunOutcome.DONE)).isEmpty();
        }
    }
}
