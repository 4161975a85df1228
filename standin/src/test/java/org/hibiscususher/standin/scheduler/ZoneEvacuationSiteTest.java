package org.hibiscususher.standin.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Evacuates one of the two zones of a simulated site under load, beside faults. */
class ZoneEvacuationSiteTest {
    private static final String ZONE = "z0";

    /** Time of an order on its way when the request is written, and of the tick that reads it. */
    private static final long WITHIN_MS = 200;

    private static final long LOAD_INTERVAL_MS = 100;

    private final SchedulerSite mSite = SchedulerSite.create(4, 4, 17);
    private final List<String> mJobs = new ArrayList<>();

    /** Submits jobs of short tasks for a time; each zone alone has room for them. */
    private void submitFor(long ms) {
        for (long atMs = 0; atMs < ms; atMs += LOAD_INTERVAL_MS) {
            mSite.schedule(atMs, () -> mJobs.add(mSite.submit(JobSpecs.oneStep(3, 150))));
        }
    }

    private void evacuate(long withinMs) {
        mSite.zones().evacuate(ZONE, withinMs);
    }

    private long runsInZone() {
        return mSite.runCountOn("x0") + mSite.runCountOn("x2");
    }

    private long linesOf(String event) {
        return mSite.logLines().stream().filter(l -> l.contains(" event=" + event + " ")).count();
    }

    /** Returns the times of the starts on an executor from a virtual time on. */
    private List<Long> startsOn(String executor, long fromMs) {
        return mSite.logLines().stream()
                .filter(
                        l ->
                                l.contains(" event=start ")
                                        && l.contains("executor=" + executor + " "))
                .map(l -> Long.parseLong(l.substring("ms=".length(), l.indexOf(' '))))
                .filter(ms -> ms >= fromMs)
                .toList();
    }

    private void assertAllEnded() {
        mSite.run(SiteJobs.DRAIN_MS);
        SiteJobs.assertAllEnded(mSite, mJobs);
    }

    /** Guards against starts in a zone that operators have evacuated. */
    @Nested
    class InForce {
        @Test
        void startsNothingAndLetsRunsEnd() {
            mSite.run(1_500);
            submitFor(10_000);
            mSite.run(3_000);
            assertThat(runsInZone()).isPositive();
            long stopped = linesOf("stop");
            evacuate(WITHIN_MS);
            mSite.run(1_000);
            assertThat(runsInZone()).isZero();
            assertThat(linesOf("stop")).isEqualTo(stopped);
            assertAllEnded();
        }

        @Test
        void survivesTheRestartOfAnExecutor() {
            mSite.run(1_500);
            submitFor(10_000);
            mSite.run(2_000);
            mSite.restartExecutor("x0");
            mSite.schedule(30, () -> evacuate(WITHIN_MS));
            mSite.schedule(2_500, () -> mSite.restartExecutor("x2", 800));
            assertAllEnded();
        }

        @Test
        void holdsOnAnExecutorThatRegistersLater() {
            mSite.run(1_500);
            evacuate(WITHIN_MS);
            mSite.schedule(500, () -> mSite.addExecutor(mSite.endExecutor("x0")));
            submitFor(8_000);
            assertAllEnded();
        }
    }

    /** Guards against a next owner that starts runs before it knows of an evacuation. */
    @Nested
    class BesideATakeover {
        @ParameterizedTest
        @ValueSource(longs = {1, 5, 50, 1_000})
        void holdsFromTheFirstStartOfTheNextOwner(long killedAfterMs) {
            mSite.run(1_500);
            submitFor(12_000);
            mSite.run(2_000);
            evacuate(WITHIN_MS);
            mSite.schedule(killedAfterMs, () -> mSite.kill(mSite.owner().orElseThrow(), 3_000));
            mSite.run(6_000);
            assertThat(runsInZone()).isZero();
            assertAllEnded();
        }

        @Test
        void holdsIfAllEntriesStartAnew() {
            mSite.run(1_500);
            submitFor(12_000);
            mSite.run(2_000);
            evacuate(WITHIN_MS);
            mSite.schedule(1_000, () -> mSite.killAll(1_500));
            assertAllEnded();
        }

        /** A withdrawal that only the next owner reads must not leave the zone out of use. */
        @Test
        void endsIfItIsWithdrawnMeanwhile() {
            mSite.run(1_500);
            submitFor(14_000);
            evacuate(WITHIN_MS);
            mSite.run(2_000);
            mSite.kill(mSite.owner().orElseThrow(), 3_000);
            mSite.schedule(300, () -> mSite.zones().restore(ZONE));
            mSite.run(8_000);
            assertThat(runsInZone()).isPositive();
            assertAllEnded();
        }
    }

    /** Guards against an evacuation that is forgotten or missed while the store is away. */
    @Nested
    class BesideASilentStore {
        @ParameterizedTest
        @ValueSource(longs = {500, 3_000, 8_000})
        void remainsInForce(long downMs) {
            mSite.run(1_500);
            submitFor(14_000);
            mSite.run(1_000);
            evacuate(WITHIN_MS);
            mSite.schedule(300, () -> mSite.storeDown(downMs));
            assertAllEnded();
        }

        /** An owner without the store goes on for its lease and 5 s, with its last view. */
        @Test
        void isKnownToTheNextOwnerIfThisOneIsCutOff() {
            mSite.run(1_500);
            submitFor(16_000);
            mSite.run(1_000);
            String owner = mSite.owner().orElseThrow();
            mSite.cutOffFromStore(owner, 12_000);
            mSite.run(10);
            evacuate(7_000);
            assertAllEnded();
        }
    }

    /** Guards against a run that begins in the zone because its order was on its way. */
    @Nested
    class StartInFlight {
        @ParameterizedTest
        @ValueSource(longs = {100, 250, 400})
        void isFollowedByAnOrderToStop(long heldMs) {
            mSite.run(2_500);
            mJobs.add(mSite.submit(JobSpecs.oneStep(24, 200)));
            mSite.run(2_000);
            mSite.cutExecutor("x0", LinkState.HELD, heldMs);
            mSite.cutExecutor("x2", LinkState.HELD, heldMs);
            mJobs.add(mSite.submit(JobSpecs.oneStep(16, 8_000)));
            mSite.run(60);
            assertThat(runsInZone()).isPositive();
            evacuate(heldMs + WITHIN_MS);
            mSite.run(1_500);
            assertThat(linesOf("stop-unknown")).isPositive();
            assertThat(runsInZone()).isZero();
            assertAllEnded();
        }
    }

    /** Guards against an odd request that has an effect or fills the log. */
    @Nested
    class UnknownZone {
        @Test
        void isLoggedOnceAndHasNoEffect() {
            mSite.run(1_500);
            submitFor(3_000);
            mSite.zones().evacuate("nowhere", WITHIN_MS);
            mSite.run(3_000);
            assertThat(startsOn("x0", 2_000)).isNotEmpty();
            assertThat(linesOf("zone-evacuated")).isEqualTo(mSite.nodes().size());
            assertAllEnded();
        }
    }

    /** Guards against a restored zone that stays empty, or that is filled at once. */
    @Nested
    class Withdrawn {
        private static final int QUARTER = 2;

        @Test
        void fillsExecutorsGradually() {
            mSite.run(1_500);
            evacuate(WITHIN_MS);
            mSite.run(500);
            mJobs.add(mSite.submit(JobSpecs.oneStep(40, 2_000)));
            mSite.run(1_000);
            long restoredMs = mSite.clock().nowMs();
            mSite.zones().restore(ZONE);
            mSite.run(1_500);
            List<Long> starts = startsOn("x0", restoredMs);
            assertThat(starts).hasSizeGreaterThanOrEqualTo(4 * QUARTER);
            assertThat(starts.get(0) - restoredMs).isLessThan(50);
            for (int i = 0; i + QUARTER < starts.size() && i < 3 * QUARTER; i++) {
                assertThat(starts.get(i + QUARTER) - starts.get(i)).isGreaterThanOrEqualTo(250);
            }
            assertThat(linesOf("zone-restored")).isEqualTo(mSite.nodes().size());
            assertAllEnded();
        }
    }
}
