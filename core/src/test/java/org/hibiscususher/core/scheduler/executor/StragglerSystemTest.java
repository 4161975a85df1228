package org.hibiscususher.core.scheduler.executor;

import static org.assertj.core.api.Assertions.assertThat;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.job.JobAddress;
import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.job.TaskKey;
import org.hibiscususher.core.scheduler.SchedulerWorlds;
import org.hibiscususher.core.scheduler.estimate.EstimateSource;
import org.hibiscususher.core.scheduler.estimate.RunTimeEstimate;
import org.hibiscususher.core.scheduler.estimate.RunTimeKey;
import org.hibiscususher.core.scheduler.estimate.RunTimeSample;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HeartbeatAnswered;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.ExecutorSessionRow;
import org.hibiscususher.core.scheduler.world.FirstReport;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunStage;
import org.hibiscususher.core.scheduler.world.RunTimeRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StepRow;
import org.hibiscususher.core.scheduler.world.StopReason;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StragglerSystemTest {
    private static final long START_MS = 10_000;
    private static final Resources CORE = Resources.of(1_000, 100, 0);

    private final SchedulerWorld mWorld = SchedulerWorlds.ofOwner(START_MS);

    private void addJob(String id, int tasks, long declaredMs) {
        JobSpec spec =
                JobSpec.once("run", List.of(StepSpec.of(tasks, CORE, declaredMs, List.of())));
        JobPolicy terms = new JobPolicy("q", "p", 0, 2, 1, 500, false);
        StoredRecord.Job record =
                new StoredRecord.Job(id, terms, JobAddress.UNKNOWN, "team", spec, 0);
        mWorld.jobs().put(id, JobRow.received(record, 0).asStored().withState(JobState.RUNNING, 0));
        StepKey step = new StepKey(id, 0, 0);
        mWorld.steps().put(step, new StepRow(step, BigInteger.ZERO, tasks, 0));
    }

    private void addRun(String job, int index, String executor, int run) {
        TaskKey task = new StepKey(job, 0, 0).task(index);
        mWorld.executorSessions()
                .put(
                        executor,
                        ExecutorSessionRow.initial(executor, 0)
                                .withHeartbeatAnswered(1, 1, START_MS));
        mWorld.runs()
                .put(
                        task,
                        new RunRow(
                                task,
                                run,
                                executor,
                                "team",
                                CORE,
                                CORE,
                                RunStage.RUNNING,
                                StopReason.NONE,
                                0,
                                START_MS,
                                START_MS,
                                "",
                                0,
                                -1,
                                100,
                                START_MS));
    }

    /** Adds durations of earlier runs on other executors, in turn. */
    private void addSamples(String job, int samples, long durationMs) {
        JobRow row = mWorld.jobs().find(job).orElseThrow();
        RunTimeKey key = RunTimeKey.of(row, 0);
        List<RunTimeSample> list = new ArrayList<>();
        for (int i = 0; i < samples; i++) {
            list.add(
                    new RunTimeSample(
                            "e" + i % 8, durationMs, row.spec().steps().get(0).estimateMs()));
        }
        mWorld.runTimes().put(key, RunTimeRow.of(key, list, START_MS));
    }

    private void progress(String job, int index, int percent, long atMs) {
        mWorld.runs()
                .update(
                        new StepKey(job, 0, 0).task(index),
                        r ->
                                new RunRow(
                                        r.task(),
                                        r.run(),
                                        r.executor(),
                                        r.team(),
                                        r.demand(),
                                        r.reserved(),
                                        r.stage(),
                                        r.reason(),
                                        r.callId(),
                                        r.sentMs(),
                                        r.orderAnsweredMs(),
                                        r.checkpoint(),
                                        percent,
                                        r.load(),
                                        r.speedLimitPercent(),
                                        r.progressPercent() == percent ? r.lastProgressMs() : atMs,
                                        r.firstReport()));
    }

    /** Has the executors answer heartbeats. */
    private void answer(long nowMs, String... executors) {
        List<SchedulerInput> answers = new ArrayList<>();
        for (String executor : executors) {
            answers.add(new HeartbeatAnswered(1, executor, 1, 1, List.of(), List.of(), true));
        }
        StragglerSystem.run(new SchedulerTick(mWorld, nowMs, nowMs, answers, () -> 1));
    }

    private StopReason reason(String job, int index) {
        return mWorld.runs().find(new StepKey(job, 0, 0).task(index)).orElseThrow().reason();
    }

    private boolean isQuarantined(String executor, long nowMs) {
        return mWorld.executorSessions().find(executor).orElseThrow().quarantinedUntilMs() > nowMs;
    }

    private void assertAllSpared(long nowMs) {
        assertThat(mWorld.runs().rows()).allMatch(r -> r.reason() == StopReason.NONE);
        assertThat(mWorld.executorSessions().rows()).allMatch(s -> s.quarantinedUntilMs() <= nowMs);
    }

    /**
     * Plays runs that progress evenly on eight executors, which answer heartbeats one after the
     * other each second, and checks that none is stopped and no executor is quarantined.
     */
    private void playSoundRuns(List<String> jobs, long workMs, long forMs) {
        for (long atMs = 0; atMs <= forMs; atMs += 125) {
            int executor = (int) (atMs / 125 % 8);
            for (String job : jobs) {
                progress(job, executor, (int) (atMs * 100 / workMs), START_MS + atMs);
            }
            answer(START_MS + atMs, "x" + executor);
            assertAllSpared(START_MS + atMs);
        }
    }

    private void addSpreadJob(String id, long declaredMs) {
        addJob(id, 8, declaredMs);
        for (int i = 0; i < 8; i++) {
            addRun(id, i, "x" + i, 1_001);
        }
    }

    /** Runs that usually take 640 ms; a slow executor takes six times as long. */
    @Nested
    class IsSlow {
        private static final RunTimeEstimate USUAL =
                new RunTimeEstimate(640, 640, EstimateSource.DECLARED);

        @Test
        void flagsRunAtSixTimesTheUsual() {
            assertThat(StragglerSystem.isSlow(1_000, 26, USUAL)).isTrue();
        }

        @Test
        void sparesSlightlyLateRun() {
            assertThat(StragglerSystem.isSlow(1_000, 70, USUAL)).isFalse();
        }

        @Test
        void sparesRunNearCompletion() {
            assertThat(StragglerSystem.isSlow(3_500, 90, USUAL)).isFalse();
        }

        @Test
        void ignoresYoungRun() {
            assertThat(StragglerSystem.isSlow(200, 0, USUAL)).isFalse();
        }

        @Test
        void ignoresRunThatNothingIsKnownOf() {
            RunTimeEstimate unknown = new RunTimeEstimate(0, 0, EstimateSource.DECLARED);
            assertThat(StragglerSystem.isSlow(9_000, 1, unknown)).isFalse();
        }

        /** One run in twenty takes seven times as long on other executors, too. */
        @Test
        void sparesRunWithinTheUsualSpread() {
            RunTimeEstimate spread = new RunTimeEstimate(640, 4_480, EstimateSource.DECLARED);
            assertThat(StragglerSystem.isSlow(1_000, 26, spread)).isFalse();
        }
    }

    /** Sound runs whose first report to this owner shows progress that they made before. */
    @Nested
    class RunsAheadAtTheFirstReport {
        private void adopt(String job, int index, int percent) {
            mWorld.runs()
                    .update(
                            new StepKey(job, 0, 0).task(index),
                            r ->
                                    new RunRow(
                                            r.task(),
                                            r.run(),
                                            r.executor(),
                                            r.team(),
                                            r.demand(),
                                            r.reserved(),
                                            r.stage(),
                                            r.reason(),
                                            0,
                                            START_MS,
                                            START_MS,
                                            "",
                                            percent,
                                            -1,
                                            100,
                                            START_MS,
                                            new FirstReport(percent, START_MS)));
        }

        /** Guards against runs of 200 s that are stopped a second after a takeover. */
        @Test
        void areNotTakenForFasterThanTheyAre() {
            addSpreadJob("a", 200_000);
            for (int i = 0; i < 8; i++) {
                adopt("a", i, 40);
            }
            for (long atMs = 0; atMs <= 20_000; atMs += 125) {
                int executor = (int) (atMs / 125 % 8);
                progress("a", executor, (int) (40 + atMs / 2_000), START_MS + atMs);
                answer(START_MS + atMs, "x" + executor);
                assertAllSpared(START_MS + atMs);
            }
        }
    }

    /** Rough estimates, with which all runs are sound. */
    @Nested
    class RoughEstimates {
        /** review/7: runs whose percent stays the same for 3 s were stopped every 2 s. */
        @Test
        void stopNoRunOfLongWork() {
            addSpreadJob("a", 37_500);
            playSoundRuns(List.of("a"), 300_000, 60_000);
        }

        @Test
        void stopNoRunOfLongWorkWithoutEstimate() {
            addSpreadJob("a", 0);
            playSoundRuns(List.of("a"), 600_000, 60_000);
        }

        /** review/9: two jobs on the same executors had them all quarantined. */
        @Test
        void quarantineNoExecutorWithSlowRunsOfTwoJobs() {
            addSpreadJob("a", 5_000);
            addSpreadJob("b", 5_000);
            playSoundRuns(List.of("a", "b"), 20_000, 19_000);
        }

        /** The same again once runs have finished and show how long the work takes. */
        @Test
        void quarantineNoExecutorOnceLearned() {
            addSpreadJob("a", 5_000);
            addSpreadJob("b", 5_000);
            addSamples("a", 32, 20_000);
            playSoundRuns(List.of("a", "b"), 20_000, 19_000);
        }
    }

    /** Jobs of one task each on one executor; similar runs took 500 ms on others. */
    @Nested
    class SlowExecutor {
        private void addSlowRuns(int samples) {
            for (String job : List.of("a", "b")) {
                addJob(job, 1, 500);
                addRun(job, 0, "x", 1_001);
            }
            addSamples("a", samples, 500);
            progress("a", 0, 20, START_MS + 2_000);
            progress("b", 0, 30, START_MS + 2_000);
        }

        @Test
        void isQuarantinedAndLosesItsRuns() {
            addSlowRuns(8);
            answer(START_MS + 2_000, "x");
            assertThat(reason("a", 0)).isEqualTo(StopReason.STALLED);
            assertThat(reason("b", 0)).isEqualTo(StopReason.STALLED);
            assertThat(isQuarantined("x", START_MS + 2_000)).isTrue();
        }

        @Test
        void isNotJudgedByTheEstimateAlone() {
            addSlowRuns(0);
            answer(START_MS + 2_000, "x");
            assertAllSpared(START_MS + 2_000);
        }

        @Test
        void isNotJudgedByASingleJob() {
            addSlowRuns(8);
            progress("b", 0, 95, START_MS + 2_000);
            answer(START_MS + 2_000, "x");
            assertAllSpared(START_MS + 2_000);
        }

        /** A task that is stopped as slow again and again would never finish. */
        @Test
        void losesNoRunThatWasStoppedBefore() {
            addSlowRuns(8);
            addRun("a", 0, "x", 1_002);
            progress("a", 0, 20, START_MS + 2_000);
            answer(START_MS + 2_000, "x");
            assertThat(reason("a", 0)).isEqualTo(StopReason.NONE);
            assertThat(reason("b", 0)).isEqualTo(StopReason.STALLED);
        }
    }

    @Nested
    class HungRun {
        private static final long NOW_MS = START_MS + 2_000;

        @Test
        void isStoppedIfSimilarRunsProgressElsewhere() {
            addSpreadJob("a", 500);
            for (int i = 1; i < 8; i++) {
                progress("a", i, 50, START_MS + 300);
            }
            answer(NOW_MS, "x0");
            assertThat(reason("a", 0)).isEqualTo(StopReason.STALLED);
            assertThat(reason("a", 1)).isEqualTo(StopReason.NONE);
            assertThat(isQuarantined("x0", NOW_MS)).isTrue();
        }

        @Test
        void isStoppedIfSimilarRunsFinishedElsewhere() {
            addJob("a", 1, 500);
            addJob("b", 1, 500);
            addRun("a", 0, "x", 1_001);
            addRun("b", 0, "x", 1_001);
            addSamples("a", 8, 500);
            progress("b", 0, 95, NOW_MS);
            answer(NOW_MS, "x");
            assertThat(reason("a", 0)).isEqualTo(StopReason.STALLED);
            assertThat(reason("b", 0)).isEqualTo(StopReason.NONE);
        }

        @Test
        void isStoppedIfItsWholeExecutorMakesNoProgress() {
            addJob("a", 2, 500);
            addRun("a", 0, "x", 1_001);
            addRun("a", 1, "x", 1_001);
            progress("a", 0, 40, START_MS + 200);
            progress("a", 1, 60, START_MS + 300);
            answer(START_MS + 1_050, "x");
            assertAllSpared(START_MS + 1_050);
            answer(START_MS + 1_200, "x");
            assertThat(reason("a", 0)).isEqualTo(StopReason.STALLED);
            assertThat(reason("a", 1)).isEqualTo(StopReason.STALLED);
        }

        /** Nothing else on the executor or elsewhere tells a hang from long work. */
        @Test
        void isSparedIfOthersOnItsExecutorProgress() {
            addJob("a", 1, 500);
            addJob("b", 1, 500);
            addRun("a", 0, "x", 1_001);
            addRun("b", 0, "x", 1_001);
            progress("b", 0, 95, NOW_MS);
            answer(NOW_MS, "x");
            assertAllSpared(NOW_MS);
        }

        /** A data source that all tasks wait for stops their progress everywhere. */
        @Test
        void isSparedIfSimilarRunsStalledEarlier() {
            addSpreadJob("a", 30_000);
            for (int i = 0; i < 8; i++) {
                progress("a", i, 1, START_MS + 300 - i);
            }
            answer(NOW_MS, "x0");
            assertAllSpared(NOW_MS);
        }

        @Test
        void isSparedWhileThrottled() {
            addSpreadJob("a", 500);
            for (int i = 1; i < 8; i++) {
                progress("a", i, 50, START_MS + 300);
            }
            mWorld.runs().update(new StepKey("a", 0, 0).task(0), r -> r.withSpeedLimit(50));
            answer(NOW_MS, "x0");
            assertAllSpared(NOW_MS);
        }

        /** Without growing patience, a task was stopped every 2 s and never finished. */
        @Test
        void isGivenTwiceTheTimeAfterEachStop() {
            addJob("a", 1, 0);
            addRun("a", 0, "x", 1_003);
            answer(START_MS + 39_000, "x");
            assertAllSpared(START_MS + 39_000);
            answer(START_MS + 41_000, "x");
            assertThat(reason("a", 0)).isEqualTo(StopReason.STALLED);
        }
    }
}
