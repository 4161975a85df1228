package org.hibiscususher.core.scheduler.estimate;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.hibiscususher.core.job.JobAddress;
import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.SchedulerWorlds;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RunTimesTest {
    private static final long NOW_MS = 10_000;
    private static final long DECLARED_MS = 500;
    private static final int EXECUTORS = 8;

    private final SchedulerWorld mWorld = SchedulerWorlds.ofOwner(NOW_MS);
    private long mNowMs = NOW_MS;

    private static JobRow job(String queue, int tasks, long declaredMs) {
        StepSpec step = StepSpec.of(tasks, Resources.of(1_000, 100, 0), declaredMs, List.of());
        JobPolicy policy = new JobPolicy(queue, "p", 0, 2, 1, 500, false);
        JobSpec spec = JobSpec.once("run", List.of(step));
        return JobRow.received(
                new StoredRecord.Job("a", policy, JobAddress.UNKNOWN, "team", spec, 0), NOW_MS);
    }

    private void add(JobRow job, String executor, long durationMs) {
        long declaredMs = job.spec().steps().get(0).estimateMs();
        RunTimes.add(
                new SchedulerTick(mWorld, mNowMs, mNowMs, List.of(), () -> 1),
                RunTimeKey.of(job, 0),
                new RunTimeSample(executor, durationMs, declaredMs));
        mNowMs++;
    }

    /** Adds runs on all executors in turn. */
    private void addRuns(int runs, long declaredMs, long durationMs) {
        for (int i = 0; i < runs; i++) {
            add(job("q", 2, declaredMs), "x" + i % EXECUTORS, durationMs);
        }
    }

    private RunTimeEstimate expect(long declaredMs) {
        return RunTimes.expect(mWorld, job("q", 2, declaredMs), 0);
    }

    @Nested
    class WithoutEnoughSamples {
        @Test
        void keepDeclaredEstimate() {
            assertThat(expect(DECLARED_MS))
                    .isEqualTo(
                            new RunTimeEstimate(DECLARED_MS, DECLARED_MS, EstimateSource.DECLARED));
            addRuns(7, DECLARED_MS, 4_000);
            assertThat(expect(DECLARED_MS).medianMs()).isEqualTo(DECLARED_MS);
            addRuns(1, DECLARED_MS, 4_000);
            assertThat(expect(DECLARED_MS).medianMs()).isEqualTo(4_000);
        }

        /** Three executors could all be the slow ones. */
        @Test
        void keepDeclaredEstimateWithFewExecutors() {
            for (int i = 0; i < 60; i++) {
                add(job("q", 2, DECLARED_MS), "x" + i % 3, 4_000);
            }
            assertThat(expect(DECLARED_MS).medianMs()).isEqualTo(DECLARED_MS);
        }

        @Test
        void ofOneKeySayNothingOfAnother() {
            addRuns(32, DECLARED_MS, 4_000);
            assertThat(RunTimes.expect(mWorld, job("r", 2, DECLARED_MS), 0).medianMs())
                    .isEqualTo(DECLARED_MS);
            assertThat(RunTimes.expect(mWorld, job("q", 64, DECLARED_MS), 0).medianMs())
                    .isEqualTo(DECLARED_MS);
        }
    }

    @Nested
    class AccurateEstimates {
        /** A deployment with accurate estimates must be served as before. */
        @Test
        void areKeptWithTheLearnedSpread() {
            for (int i = 0; i < 32; i++) {
                add(job("q", 2, DECLARED_MS), "x" + i % EXECUTORS, i % 4 == 0 ? 1_000 : 520);
            }
            RunTimeEstimate estimate = expect(DECLARED_MS);
            assertThat(estimate.source()).isEqualTo(EstimateSource.DECLARED);
            assertThat(estimate.medianMs()).isEqualTo(DECLARED_MS);
            assertThat(estimate.p95Ms()).isCloseTo(961, within(2L));
        }
    }

    @Nested
    class WrongEstimates {
        @Test
        void areCorrectedIfTheRatioVariesLess() {
            for (int i = 0; i < 32; i++) {
                long declaredMs = 100L * (1 + i % EXECUTORS);
                add(job("q", 2, declaredMs), "x" + i % EXECUTORS, 3 * declaredMs);
            }
            RunTimeEstimate estimate = expect(2_000);
            assertThat(estimate.source()).isEqualTo(EstimateSource.CORRECTED);
            assertThat(estimate.medianMs()).isEqualTo(6_000);
        }

        @Test
        void areReplacedIfTheDurationVariesLess() {
            for (int i = 0; i < 32; i++) {
                add(job("q", 2, 100L * (1 + i % EXECUTORS)), "x" + i % EXECUTORS, 2_000);
            }
            assertThat(expect(50))
                    .isEqualTo(new RunTimeEstimate(2_000, 2_000, EstimateSource.LEARNED));
        }

        @Test
        void areReplacedIfNoneWasDeclared() {
            addRuns(8, 0, 2_000);
            assertThat(expect(0).medianMs()).isEqualTo(2_000);
        }

        /** A new version of an image takes four times as long, in the middle of a day. */
        @Test
        void showWithinSomeTensOfRunsAfterAChange() {
            addRuns(200, DECLARED_MS, DECLARED_MS);
            addRuns(20, DECLARED_MS, 4 * DECLARED_MS);
            assertThat(expect(DECLARED_MS).medianMs()).isEqualTo(4 * DECLARED_MS);
            addRuns(20, DECLARED_MS, DECLARED_MS);
            assertThat(expect(DECLARED_MS).medianMs()).isEqualTo(DECLARED_MS);
        }
    }

    @Nested
    class OutlierRun {
        @Test
        void changesNothing() {
            addRuns(31, DECLARED_MS, DECLARED_MS);
            RunTimeEstimate before = expect(DECLARED_MS);
            add(job("q", 2, DECLARED_MS), "x7", 7 * DECLARED_MS);
            assertThat(expect(DECLARED_MS)).isEqualTo(before);
        }

        @Test
        void changesNothingAmongFewSamples() {
            addRuns(7, DECLARED_MS, DECLARED_MS);
            add(job("q", 2, DECLARED_MS), "x7", 7 * DECLARED_MS);
            assertThat(expect(DECLARED_MS))
                    .isEqualTo(
                            new RunTimeEstimate(DECLARED_MS, DECLARED_MS, EstimateSource.DECLARED));
        }
    }

    /** One executor among nine reports far more runs than the others. */
    @Nested
    class OddExecutor {
        private void addRunsBesideOdd(long oddMs) {
            for (int i = 0; i < 200; i++) {
                add(job("q", 2, DECLARED_MS), "x" + i % EXECUTORS, DECLARED_MS);
                add(job("q", 2, DECLARED_MS), "odd", oddMs);
                add(job("q", 2, DECLARED_MS), "odd", oddMs);
            }
        }

        @Test
        void isSlowAndChangesNoMedian() {
            addRunsBesideOdd(6 * DECLARED_MS);
            assertThat(expect(DECLARED_MS).source()).isEqualTo(EstimateSource.DECLARED);
            assertThat(expect(DECLARED_MS).medianMs()).isEqualTo(DECLARED_MS);
        }

        @Test
        void misreportsAndChangesNothing() {
            addRunsBesideOdd(1);
            assertThat(expect(DECLARED_MS))
                    .isEqualTo(
                            new RunTimeEstimate(DECLARED_MS, DECLARED_MS, EstimateSource.DECLARED));
        }
    }

    @Nested
    class Table {
        /** Callers choose images and queues, so the number of keys has no bound of its own. */
        @Test
        void isBoundedAndEvictsTheOldest() {
            for (int i = 0; i <= RunTimes.MAX_ROWS; i++) {
                add(job("q" + i, 2, DECLARED_MS), "x", DECLARED_MS);
            }
            assertThat(mWorld.runTimes().size()).isEqualTo(RunTimes.MAX_ROWS);
            assertThat(mWorld.runTimes().contains(RunTimeKey.of(job("q0", 2, 1), 0))).isFalse();
            assertThat(mWorld.runTimes().contains(RunTimeKey.of(job("q1", 2, 1), 0))).isTrue();
        }
    }
}
