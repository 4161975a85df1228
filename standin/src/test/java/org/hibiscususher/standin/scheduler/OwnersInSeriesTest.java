package org.hibiscususher.standin.scheduler;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hibiscususher.standin.scheduler.SiteJobs.assertAllEnded;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays terms that follow each other within seconds, while the first owner is cut off from the
 * store and from the other entries, goes on for its grace period, and reaches an executor that
 * later owners don't reach.
 */
class OwnersInSeriesTest {
    /** Executor that only the first owner reaches. */
    private static final String EXECUTOR = "x0";

    /** Time after which the jobs of a case must have ended, in milliseconds. */
    private static final long DRAIN_MS = 45_000;

    /** How long later owners don't reach the executor, in milliseconds. */
    private static final long LINK_CUT_MS = 16_000;

    /** Number of pairs of jobs that leave no executor room; some tasks wait. */
    private static final int FULL_LOAD = 3;

    /** Number of pairs of jobs that leave each executor room. */
    private static final int LIGHT_LOAD = 1;

    /** A site whose first owner has started runs on all executors. */
    private static final class Case {
        private final SchedulerSite mSite;
        private final List<String> mJobs = new ArrayList<>();
        private final String mFirst;

        /**
         * Starts the site and a load of long and short tasks.
         *
         * @param pairs number of jobs of each of the two kinds
         * @param shortMs run time of a short task, in milliseconds
         */
        Case(long seed, int pairs, long shortMs) {
            mSite = SchedulerSite.create(4, 4, seed);
            mSite.run(1_500);
            mFirst = mSite.owner().orElseThrow();
            for (int i = 0; i < pairs; i++) {
                mJobs.add(mSite.submit(JobSpecs.oneStep(6, 14_000)));
                mJobs.add(mSite.submit(JobSpecs.oneStep(8, shortMs)));
            }
            mSite.run(300);
        }

        /** Leaves the first owner and the executor only each other, apart from the store. */
        void separate(long forMs) {
            mSite.isolate(mFirst, forMs);
            mSite.reports().stream()
                    .filter(report -> !report.id().equals(EXECUTOR))
                    .forEach(report -> mSite.cutLink(mFirst, report.id(), forMs));
            cutExecutorFromOthers();
        }

        /** Leaves the first owner as the only one that reaches the executor. */
        void cutExecutorFromOthers() {
            mSite.nodes().stream()
                    .filter(node -> !node.equals(mFirst))
                    .forEach(node -> mSite.cutLink(node, EXECUTOR, LINK_CUT_MS));
        }

        void cutFirstOwnerOff(long forMs) {
            mSite.cutOffFromStore(mFirst, forMs);
            separate(forMs);
        }

        /** Runs until another entry owns the scheduling; returns its name. */
        String runUntilSuccession() {
            for (int i = 0; i < 10_000; i++) {
                mSite.run(1);
                for (VirtualNode node : mSite.runningNodes()) {
                    if (node.isOwner() && !node.name().equals(mFirst)) {
                        return node.name();
                    }
                }
            }
            throw new AssertionError("no later owner");
        }

        /** Runs to the end; returns the first violation, after the name of the case. */
        Optional<String> violation(String name) {
            mSite.run(DRAIN_MS);
            Optional<String> first =
                    mSite.invariants().violations().stream().findFirst().map(v -> name + ": " + v);
            if (first.isEmpty()) {
                assertAllEnded(mSite, mJobs);
            }
            return first;
        }
    }

    /**
     * Guards against an owner in its grace period that takes the runs of an executor for lapsed
     * because it doesn't reach it: a later owner may have reached it, and extend its lease.
     */
    @Nested
    class EarlierOwnerThatDoesNotReachAnExecutor {
        @ParameterizedTest
        @ValueSource(longs = {1_000, 3_000, 4_000})
        void startsNoTaskOfItElsewhere(long shortMs) {
            List<String> violations = new ArrayList<>();
            for (long seed = 1; seed <= 8; seed++) {
                Case played = new Case(seed, LIGHT_LOAD, shortMs);
                played.mSite.run(50 * seed);
                played.cutFirstOwnerOff(9_000);
                played.violation("seed " + seed).ifPresent(violations::add);
            }
            assertThat(violations).isEmpty();
        }
    }

    /**
     * Guards against a lease longer than a later owner counts with: an order that names its
     * deadline on the clock of an earlier incarnation holds for the longest lease on the next one.
     */
    @Nested
    class ExecutorThatRestartsUnseen {
        /** Run time of a task at whose end the executor restarts, in milliseconds. */
        private static final long SHORT_MS = 5_600;

        /** Round trip of a slow store, which delays the acknowledgment of ends, in milliseconds. */
        private static final long SLOW_STORE_MS = 200;

        /** Time until entries read the report of the new incarnation, in milliseconds. */
        private static final long REPORT_DELAY_MS = 400;

        @Test
        void startsNothingTwiceInTheGraceOfAnEarlierOwner() {
            List<String> violations = new ArrayList<>();
            for (long atMs = 5_250; atMs <= 5_500; atMs += 25) {
                Case played = new Case(1, LIGHT_LOAD, SHORT_MS);
                played.cutFirstOwnerOff(9_000);
                played.mSite.schedule(atMs, () -> played.mSite.restartExecutor(EXECUTOR));
                played.violation("restart " + atMs).ifPresent(violations::add);
            }
            assertThat(violations).isEmpty();
        }

        @ParameterizedTest
        @ValueSource(longs = {300, 800})
        void startsNothingTwiceAfterItsOwnerHasStopped(long stopAfterMs) {
            List<String> violations = new ArrayList<>();
            for (long atMs = 5_250; atMs <= 5_500; atMs += 25) {
                Case played = new Case(1, LIGHT_LOAD, SHORT_MS);
                played.cutExecutorFromOthers();
                played.mSite.slowStore(SLOW_STORE_MS, atMs + stopAfterMs);
                played.mSite.schedule(
                        atMs, () -> played.mSite.restartExecutor(EXECUTOR, REPORT_DELAY_MS));
                played.mSite.schedule(
                        atMs + stopAfterMs, () -> played.mSite.shutDown(played.mFirst, 3_500));
                played.violation("restart " + atMs).ifPresent(violations::add);
            }
            assertThat(violations).isEmpty();
        }
    }

    /** How the term of the second owner ends. */
    private enum TermEnd {
        KILLED((site, node) -> site.kill(node, 30_000)),
        KILLED_AND_BACK_AT_ONCE((site, node) -> site.kill(node, 50)),
        STOPPED((site, node) -> site.shutDown(node, 3_500)),
        CUT_OFF_FROM_STORE((site, node) -> site.cutOffFromStore(node, 4_000));

        private final BiConsumer<SchedulerSite, String> mAction;

        TermEnd(BiConsumer<SchedulerSite, String> action) {
            mAction = action;
        }

        void apply(SchedulerSite site, String node) {
            mAction.accept(site, node);
        }
    }

    /**
     * Guards against a third owner that counts only with orders of the second: the first may still
     * extend leases.
     */
    @Nested
    class ThirdOwner {
        @ParameterizedTest
        @EnumSource(TermEnd.class)
        void waitsForTheGraceOfTheFirst(TermEnd end) {
            List<String> violations = new ArrayList<>();
            for (long cutMs : List.of(3_000L, 6_000L, 9_000L)) {
                for (long termMs = 100; termMs <= 6_000; termMs += 590) {
                    Case played = new Case(termMs, FULL_LOAD, 1_700);
                    played.cutFirstOwnerOff(cutMs);
                    String second = played.runUntilSuccession();
                    played.mSite.schedule(termMs, () -> end.apply(played.mSite, second));
                    played.violation("cut " + cutMs + " term " + termMs).ifPresent(violations::add);
                }
            }
            assertThat(violations).isEmpty();
        }
    }

    /**
     * Guards against a successor that starts before the lease of the owner that offered its term
     * has ended, and is cut off from it before it can ask it to stop.
     */
    @Nested
    class OwnerThatIsCutOffAfterItsOffer {
        @Test
        void hasItsGraceCountedFromTheEndOfItsLease() {
            List<String> violations = new ArrayList<>();
            for (long seed = 1; seed <= 8; seed++) {
                for (long afterMs = 160; afterMs <= 220; afterMs += 12) {
                    Case played = new Case(seed, FULL_LOAD, 1_700);
                    played.mSite.run(50 * seed);
                    played.mSite.cutOffFromStore(played.mFirst, 9_000);
                    played.mSite.schedule(afterMs, () -> played.separate(9_000));
                    played.violation("seed " + seed + " after " + afterMs)
                            .ifPresent(violations::add);
                }
            }
            assertThat(violations).isEmpty();
        }
    }
}
