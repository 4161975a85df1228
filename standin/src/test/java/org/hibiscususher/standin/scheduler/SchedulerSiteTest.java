package org.hibiscususher.standin.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.job.Resources;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Runs the scheduler on a site in virtual time, calm and with faults. */
class SchedulerSiteTest {
    private static final int SEEDS_PER_FAULT = 8;
    private static final long DAY_MS = 20_000;
    private static final long REST_MS = 25_000;

    /** Hands in jobs of several kinds during a day; returns those that should end as done. */
    private static List<String> busyDay(SchedulerSite site, Random random) {
        List<String> jobs = new ArrayList<>();
        site.run(1_000);
        for (int i = 0; i < 60; i++) {
            long atMs = random.nextInt((int) DAY_MS);
            int tasks = 1 + random.nextInt(6);
            long taskMs = 100 + random.nextInt(900);
            boolean two = random.nextBoolean();
            site.schedule(
                    atMs,
                    () ->
                            jobs.add(
                                    site.submit(
                                            two
                                                    ? Jobs.twoSteps(tasks, taskMs)
                                                    : Jobs.oneStep(tasks, taskMs))));
        }
        site.schedule(500, () -> cancelLater(site, site.submit(Jobs.lasting(3)), 9_000));
        site.schedule(2_500, () -> cancelLater(site, site.submit(Jobs.oneStep(4, 3_000)), 700));
        return jobs;
    }

    private static void cancelLater(SchedulerSite site, String job, long delayMs) {
        site.schedule(delayMs, () -> site.cancel(job));
    }

    private static void assertAllServed(SchedulerSite site, List<String> jobs) {
        assertThat(site.invariants().violations()).isEmpty();
        assertThat(site.invariants().acceptedJobs()).containsAll(jobs);
        for (String job : jobs) {
            assertThat(site.stateOf(job)).as(job).isIn(JobState.DONE, JobState.FAILED);
        }
        assertThat(site.invariants().violations()).isEmpty();
    }

    @Nested
    class Calm {
        private final SchedulerSite mSite = SchedulerSite.create(3, 4, 1);

        @Test
        void hasOneOwner() {
            mSite.run(1_000);
            assertThat(mSite.ownerCount()).isEqualTo(1);
        }

        @Test
        void startsAcceptedTasksAtOnce() {
            mSite.run(1_500);
            String job = mSite.submit(Jobs.oneStep(4, 300));
            mSite.run(500);
            assertThat(mSite.stateOf(job)).isEqualTo(JobState.DONE);
        }

        @Test
        void runsStepsInTheirOrder() {
            mSite.run(1_500);
            String job = mSite.submit(Jobs.twoSteps(3, 200));
            mSite.run(250);
            assertThat(mSite.stateOf(job)).isEqualTo(JobState.RUNNING);
            mSite.run(700);
            assertThat(mSite.stateOf(job)).isEqualTo(JobState.DONE);
            assertThat(mSite.invariants().violations()).isEmpty();
        }

        @Test
        void stopsWhatIsCancelled() {
            mSite.run(1_500);
            String job = mSite.submit(Jobs.lasting(3));
            mSite.run(500);
            mSite.cancel(job);
            mSite.run(1_000);
            assertThat(mSite.stateOf(job)).isEqualTo(JobState.CANCELLED);
            assertThat(mSite.taskCount()).isZero();
        }

        @Test
        void servesABusyDay() {
            List<String> jobs = busyDay(mSite, new Random(1));
            mSite.run(DAY_MS + REST_MS);
            assertAllServed(mSite, jobs);
        }
    }

    @Nested
    class Limits {
        @Test
        void keepATeamWithinItsLimit() {
            Resources limit = Resources.of(3_000, 0, 0);
            SchedulerSite site = SchedulerSite.createWithTeamLimit(2, 4, limit, 2);
            site.run(1_500);
            String job = site.submit(Jobs.oneStep(12, 200));
            site.run(2_500);
            assertThat(site.stateOf(job)).isEqualTo(JobState.DONE);
            assertThat(site.invariants().violations()).isEmpty();
        }
    }

    @Nested
    class Takeover {
        private final SchedulerSite mSite = SchedulerSite.create(3, 4, 3);

        @Test
        void followsAnOwnerThatIsKilledWithinSeconds() {
            mSite.run(1_500);
            String before = mSite.owner().orElseThrow();
            String job = mSite.submit(Jobs.twoSteps(8, 800));
            mSite.run(400);
            mSite.kill(before, 20_000);
            mSite.run(2_500);
            assertThat(mSite.owner()).isPresent().isNotEqualTo(Optional.of(before));
            mSite.run(2_000);
            assertThat(mSite.stateOf(job)).isEqualTo(JobState.DONE);
            assertThat(mSite.invariants().violations()).isEmpty();
        }

        @Test
        void losesNothingWhenAllAreKilledRightAfterAnAnswer() {
            mSite.run(1_500);
            String job = mSite.submit(Jobs.oneStep(4, 500));
            mSite.run(30);
            assertThat(mSite.invariants().acceptedJobs()).contains(job);
            mSite.killAll(1_200);
            mSite.run(9_000);
            assertThat(mSite.stateOf(job)).isEqualTo(JobState.DONE);
            assertThat(mSite.invariants().violations()).isEmpty();
        }

        @Test
        void followsAnOwnerThatStopsWithoutAPause() {
            mSite.run(1_500);
            String before = mSite.owner().orElseThrow();
            mSite.shutDown(before, 3_500);
            mSite.run(300);
            assertThat(mSite.owner()).isPresent().isNotEqualTo(Optional.of(before));
        }

        /** The load of a day on which the store turns away the owner alone. */
        @Test
        void followsAnOwnerThatTheStoreTurnsAwayBeforeItsLeaseEnds() {
            mSite.run(1_500);
            String before = mSite.owner().orElseThrow();
            String job = mSite.submit(Jobs.oneStep(4, 800));
            mSite.run(300);
            mSite.cutOffFromStore(before, 8_000);
            mSite.run(400);
            assertThat(mSite.owner()).isPresent().isNotEqualTo(Optional.of(before));
            mSite.run(1_000);
            assertThat(mSite.stateOf(job)).isEqualTo(JobState.DONE);
            assertThat(mSite.invariants().violations()).isEmpty();
        }

        /** The load of the first seed that broke: the store is away from the owner alone. */
        @Test
        void keepsTheEndsOfStepsThatTheStoreDoesNotHold() {
            mSite.run(1_500);
            String before = mSite.owner().orElseThrow();
            List<String> jobs = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                jobs.add(mSite.submit(Jobs.twoSteps(4, 600)));
            }
            mSite.run(50);
            mSite.cutOffFromStore(before, 8_000);
            mSite.run(12_000);
            assertAllServed(mSite, jobs);
        }
    }

    @Nested
    class Silence {
        /** The load of a day on which a host was ordered away late, just after it got work. */
        @Test
        void movesTheWorkOfAnExecutorThatNeverAnswersAgain() {
            SchedulerSite site = SchedulerSite.create(3, 4, 5);
            site.run(1_500);
            site.submit(Jobs.lasting(3));
            site.run(500);
            assertThat(site.runCountOn("x1")).isPositive();
            site.silenceExecutor("x1", 60_000);
            site.run(6_000);
            assertThat(site.runCountOn("x1")).isZero();
            assertThat(site.runCount()).isEqualTo(3);
            assertThat(site.invariants().violations()).isEmpty();
        }
    }

    @Nested
    class Waves {
        private static final int CAP = 2;

        @Test
        void areDoneWhileTheSiteWorks() {
            SchedulerSite site = SchedulerSite.create(3, 6, 7);
            List<String> jobs = busyDay(site, new Random(7));
            site.startWave(CAP);
            site.run(DAY_MS + REST_MS);
            assertThat(site.isWaveDone()).isTrue();
            assertAllServed(site, jobs);
        }

        @ParameterizedTest
        @EnumSource(SiteFault.class)
        void areDoneWhateverFails(SiteFault fault) {
            for (int seed = 1; seed <= SEEDS_PER_FAULT; seed++) {
                Random random = new Random(seed);
                SchedulerSite site = SchedulerSite.create(4, 6, seed);
                List<String> jobs = busyDay(site, random);
                int startMs = 1_000 + random.nextInt(6_000);
                site.schedule(startMs, () -> site.startWave(CAP));
                site.schedule(startMs, () -> site.dropHostOrderResponses(0.3, 5_000));
                site.schedule(startMs + random.nextInt(6_000), () -> fault.strike(site, random));
                site.run(DAY_MS + REST_MS);
                assertThat(site.invariants().violations()).as("seed " + seed).isEmpty();
                assertThat(site.isWaveDone()).as("seed " + seed).isTrue();
                assertAllServed(site, jobs);
            }
        }
    }

    @Nested
    class Faults {
        static Stream<Arguments> pairs() {
            return Stream.of(SiteFault.values())
                    .flatMap(
                            first ->
                                    Stream.of(SiteFault.values())
                                            .map(second -> Arguments.of(first, second)));
        }

        @ParameterizedTest
        @EnumSource(SiteFault.class)
        void breakNoPromiseAlone(SiteFault fault) {
            for (int seed = 1; seed <= SEEDS_PER_FAULT; seed++) {
                Random random = new Random(seed);
                SchedulerSite site = SchedulerSite.create(4, 5, seed);
                List<String> jobs = busyDay(site, random);
                site.schedule(3_000 + random.nextInt(12_000), () -> fault.strike(site, random));
                site.run(DAY_MS + REST_MS);
                assertThat(site.invariants().violations()).as("seed " + seed).isEmpty();
                assertAllServed(site, jobs);
            }
        }

        @ParameterizedTest
        @MethodSource("pairs")
        void breakNoPromiseInPairs(SiteFault first, SiteFault second) {
            KnownRed.passOver("breakNoPromiseInPairs " + first + " " + second);
            int seed = 100 * first.ordinal() + second.ordinal();
            Random random = new Random(seed);
            SchedulerSite site = SchedulerSite.create(4, 5, seed);
            List<String> jobs = busyDay(site, random);
            int firstMs = 3_000 + random.nextInt(8_000);
            site.schedule(firstMs, () -> first.strike(site, random));
            site.schedule(firstMs + random.nextInt(4_000), () -> second.strike(site, random));
            site.run(DAY_MS + REST_MS);
            assertThat(site.invariants().violations()).isEmpty();
            assertAllServed(site, jobs);
        }
    }
}
