package org.hibiscususher.standin.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.Consumer;
import org.hibiscususher.core.job.JobState;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Cancels jobs on a simulated site while its store or its entries fail. */
class SiteCancellationTest {
    /** Guards against jobs cancelled in an outage whose done tasks the next owner starts again. */
    @Nested
    class WhileTheStoreIsAway {
        private static final long TASK_MS = 1_500;

        private final SchedulerSite mSite = SchedulerSite.create(5, 4, 23);

        /**
         * Cancels a job once, just before its tasks end and after a fault of the store has begun,
         * and kills the owner after the ends.
         */
        private void cancelThenLoseTheOwner(Runnable fault) {
            mSite.run(1_500);
            String job = mSite.submit(JobSpecs.oneStep(8, TASK_MS));
            mSite.schedule(TASK_MS - 400, fault);
            mSite.schedule(TASK_MS - 10, () -> mSite.cancelOnce(job));
            mSite.schedule(
                    TASK_MS + 600, () -> mSite.owner().ifPresent(o -> mSite.kill(o, 20_000)));
            mSite.run(SiteJobs.DRAIN_MS);
            assertThat(mSite.invariants().violations()).isEmpty();
            assertThat(mSite.stateOf(job)).isIn(JobState.CANCELLED, JobState.DONE);
        }

        @ParameterizedTest
        @ValueSource(longs = {500, 1_500, 3_000, 4_500, 8_000})
        void leavesDoneTasksDoneIfItIsDown(long downMs) {
            cancelThenLoseTheOwner(() -> mSite.storeDown(downMs));
        }

        @Test
        void leavesDoneTasksDoneIfItIsSlow() {
            cancelThenLoseTheOwner(() -> mSite.slowStore(2_500, 6_000));
        }

        @Test
        void leavesDoneTasksDoneIfItsAnswersAreLost() {
            cancelThenLoseTheOwner(() -> mSite.dropCommitResponses(1, true, 3_000));
        }
    }

    /** Guards against jobs that run although their cancellation said that there is none. */
    @Nested
    class OfASubmissionOnItsWay {
        /** Submits jobs with one request each while a fault lasts, and cancels them soon after. */
        private static void play(Consumer<SchedulerSite> fault) {
            SchedulerSite site = SchedulerSite.create(4, 4, 31);
            site.run(1_500);
            fault.accept(site);
            for (int i = 0; i < 40; i++) {
                long cancelAfterMs = 20 + 75 * i;
                site.schedule(
                        i * 50L,
                        () -> {
                            String job = site.submitOnce(JobSpecs.twoSteps(1, 6_000));
                            site.schedule(cancelAfterMs, () -> site.cancelOnce(job));
                        });
            }
            site.run(SiteJobs.LOAD_MS + SiteJobs.DRAIN_MS);
            assertThat(site.invariants().violations()).isEmpty();
        }

        @ParameterizedTest
        @ValueSource(longs = {500, 1_500, 3_000, 4_500, 8_000})
        void holdsIfTheStoreIsDown(long downMs) {
            play(site -> site.storeDown(downMs));
        }

        @ParameterizedTest
        @ValueSource(longs = {200, 700, 2_500})
        void holdsIfTheStoreIsSlow(long roundTripMs) {
            play(site -> site.slowStore(roundTripMs, 6_000));
        }

        @ParameterizedTest
        @ValueSource(booleans = {false, true})
        void holdsIfAnswersOfTheStoreAreLost(boolean late) {
            play(site -> site.dropCommitResponses(0.8, late, 4_500));
        }

        @Test
        void holdsIfTheOwnerIsCutOff() {
            play(site -> site.cutOffFromStore(site.owner().orElseThrow(), 4_500));
        }

        /** A submission waits at the frozen entry while the next owner is asked to cancel it. */
        @ParameterizedTest
        @ValueSource(longs = {2_500, 4_000, 6_500})
        void holdsIfTheOwnerIsFrozen(long frozenMs) {
            play(site -> site.freeze(site.owner().orElseThrow(), frozenMs));
        }

        @ParameterizedTest
        @ValueSource(longs = {3_200, 5_000})
        void holdsIfAnotherEntryIsFrozen(long frozenMs) {
            play(site -> withdrawFromFrozenEntry(site, frozenMs));
        }

        /** The next owner must know what its predecessor has cancelled. */
        @ParameterizedTest
        @ValueSource(longs = {3_300, 3_900})
        void holdsIfTheOwnerIsKilledBeforeTheSubmissionIsRead(long killedMs) {
            play(
                    site -> {
                        String owner = site.owner().orElseThrow();
                        withdrawFromFrozenEntry(site, 7_000);
                        site.schedule(killedMs, () -> site.kill(owner, 20_000));
                    });
        }

        /** Freezes an entry that is not the owner, with submissions that callers then cancel. */
        private static void withdrawFromFrozenEntry(SchedulerSite site, long frozenMs) {
            String owner = site.owner().orElseThrow();
            String other =
                    site.nodes().stream().filter(n -> !n.equals(owner)).findFirst().orElseThrow();
            site.freeze(other, frozenMs);
            for (int i = 0; i < 8; i++) {
                site.submitAndWithdraw(other, JobSpecs.twoSteps(1, 6_000));
            }
        }
    }
}
