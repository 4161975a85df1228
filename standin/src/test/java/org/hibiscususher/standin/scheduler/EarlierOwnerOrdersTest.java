package org.hibiscususher.standin.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Plays owners whose last orders a later owner doesn't know: it must wait until the leases that
 * those orders gave have ended before it starts the tasks of executors that it doesn't reach.
 */
class EarlierOwnerOrdersTest {
    private static final String EXECUTOR = "x0";
    private static final int SEEDS = 4;
    private static final long CUT_MS = 20_000;
    private static final long DRAIN_MS = 40_000;

    private final List<String> mViolations = new ArrayList<>();

    /** Returns a site with long and short tasks on all executors. */
    private static SchedulerSite busySite(long seed) {
        SchedulerSite site = SchedulerSite.create(4, 4, seed);
        site.run(1_500);
        for (int i = 0; i < 3; i++) {
            site.submit(JobSpecs.oneStep(6, 14_000));
            site.submit(JobSpecs.oneStep(8, 1_700));
        }
        site.run(300);
        return site;
    }

    /** Leaves the executor to the first owner, and all others to the other entries. */
    private static void divideExecutors(SchedulerSite site, String first) {
        site.nodes().stream()
                .filter(node -> !node.equals(first))
                .forEach(node -> site.cutLink(node, EXECUTOR, CUT_MS));
        site.reports().stream()
                .filter(report -> !report.id().equals(EXECUTOR))
                .forEach(report -> site.cutLink(first, report.id(), CUT_MS));
    }

    private void runToEnd(SchedulerSite site, String name) {
        site.run(DRAIN_MS);
        site.invariants().violations().stream()
                .findFirst()
                .ifPresent(violation -> mViolations.add(name + ": " + violation));
    }

    /**
     * Guards against a grace that ends with the start of the successor although it yields later.
     */
    @Nested
    class OwnerThatYieldsLate {
        @Test
        void hasItsLeasesCountedFromThere() {
            for (long seed = 1; seed <= SEEDS; seed++) {
                for (long cutMs = 1_500; cutMs <= 4_000; cutMs += 250) {
                    SchedulerSite site = busySite(seed);
                    String first = site.owner().orElseThrow();
                    site.cutOffFromStore(first, CUT_MS);
                    site.isolate(first, cutMs);
                    divideExecutors(site, first);
                    runToEnd(site, "seed " + seed + " cut " + cutMs);
                }
            }
            assertThat(mViolations).isEmpty();
        }
    }

    /** Guards against an owner that has released the ownership and doesn't learn it. */
    @Nested
    class OwnerThatDoesNotKnowOfItsRelease {
        @Test
        void mayRenewLeases() {
            for (long seed = 1; seed <= SEEDS; seed++) {
                for (long afterMs = 0; afterMs <= 12; afterMs += 2) {
                    SchedulerSite site = busySite(seed);
                    String first = site.owner().orElseThrow();
                    divideExecutors(site, first);
                    site.dropCommitResponses(1, false, 40);
                    site.shutDown(first, 6_000);
                    site.schedule(
                            afterMs,
                            () -> {
                                site.cutOffFromStore(first, CUT_MS);
                                site.isolate(first, CUT_MS);
                            });
                    runToEnd(site, "seed " + seed + " after " + afterMs);
                }
            }
            assertThat(mViolations).isEmpty();
        }
    }

    /** Guards against a start of the earlier owner on an incarnation that nobody has seen. */
    @Nested
    class OwnerThatIsBackAtOnce {
        @Test
        void allowsForTheLongestLease() {
            for (long seed = 1; seed <= SEEDS; seed++) {
                for (long afterMs = 10; afterMs <= 120; afterMs += 20) {
                    SchedulerSite site = SchedulerSite.create(4, 4, seed);
                    site.run(12_000);
                    String first = site.owner().orElseThrow();
                    site.restartExecutor(EXECUTOR, CUT_MS);
                    for (int i = 0; i < 3; i++) {
                        site.submit(JobSpecs.oneStep(6, 14_000));
                    }
                    site.run(afterMs);
                    site.nodes().forEach(node -> site.cutLink(node, EXECUTOR, CUT_MS));
                    site.kill(first, 50);
                    runToEnd(site, "seed " + seed + " after " + afterMs);
                }
            }
            assertThat(mViolations).isEmpty();
        }
    }
}
