package org.hibiscususher.standin.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.hibiscususher.core.message.ExecutionStatus;
import org.hibiscususher.core.message.Refusal;
import org.hibiscususher.standin.virtual.ProcessState;
import org.hibiscususher.standin.virtual.TargetFault;
import org.hibiscususher.standin.virtual.VirtualRequest;
import org.hibiscususher.standin.virtual.VirtualSite;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests admission, retry, quarantine and shutdown decisions for requests in virtual time. */
class RequestLifecycleTest {
    /** Time in which every request and abandoned run ends, in milliseconds. */
    private static final int DRAIN_MS = 14_000;

    private final VirtualSite mSite = RequestSite.open(11);

    /** Sends idempotent requests to entry e1. */
    private List<VirtualRequest> send(int count, String team, int runMs) {
        List<VirtualRequest> requests = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            requests.add(mSite.sendRequest("e1", "lookups", team, runMs));
        }
        return requests;
    }

    private static long countRefused(List<VirtualRequest> requests, Refusal refusal) {
        return requests.stream().filter(r -> r.refusal().equals(Optional.of(refusal))).count();
    }

    @Nested
    class Outcomes {
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
        void matchTheActualRunsUnderFaults(long seed) {
            VirtualSite site = RequestSite.open(seed);
            site.network().setLinkBehaviour(1, 5, 0.05, 0.05);
            Random random = site.random();
            for (int step = 0; step < 400; step++) {
                sendOrDisturb(site, random);
                site.run(random.nextInt(30));
            }
            RequestSite.HOSTS.forEach(h -> site.target(h).setFault(TargetFault.NONE));
            site.run(DRAIN_MS);
            for (VirtualRequest request : site.requests().values()) {
                assertOutcomeMatchesRuns(request);
            }
            RequestSite.assertIdle(site);
        }

        /** Mostly sends requests; otherwise sets a target fault, cancels, or restarts an entry. */
        private void sendOrDisturb(VirtualSite site, Random random) {
            String entry = RequestSite.ENTRIES.get(random.nextInt(3));
            switch (random.nextInt(12)) {
                case 0 ->
                        site.target(RequestSite.HOSTS.get(random.nextInt(4)))
                                .setFault(TargetFault.values()[random.nextInt(7)]);
                case 1 -> {
                    List<VirtualRequest> all = new ArrayList<>(site.requests().values());
                    if (!all.isEmpty()) {
                        site.cancel(all.get(all.size() - 1 - random.nextInt(all.size() / 2 + 1)));
                    }
                }
                case 2 -> {
                    if (random.nextInt(20) == 0) {
                        site.kill("e3");
                        site.start("e3", "z3");
                    }
                }
                default -> {
                    String team = random.nextBoolean() ? "fitters" : "hotels";
                    int count = random.nextInt(8);
                    for (int i = 0; i < count; i++) {
                        boolean idempotent = random.nextBoolean();
                        int runMs = 1 + random.nextInt(random.nextInt(10) == 0 ? 5_000 : 100);
                        site.sendRequest(entry, "lookups", team, runMs, idempotent, "");
                    }
                }
            }
        }

        private void assertOutcomeMatchesRuns(VirtualRequest request) {
            assertThat(request.isFinished()).isTrue();
            boolean reportedAsNotRun =
                    request.refusal()
                            .map(r -> r.executionStatus() == ExecutionStatus.NOT_RUN)
                            .orElse(false);
            if (reportedAsNotRun) {
                assertThat(request.runCount()).as("runs of a request reported as not run").isZero();
            }
            if (request.isAnswered()) {
                assertThat(request.runCount()).isPositive();
            }
            if (!request.arrival().idempotent()) {
                assertThat(request.runCount()).isLessThanOrEqualTo(1);
            }
        }
    }

    @Nested
    class Queues {
        @Test
        void reserveCapacityForOtherTeams() {
            List<VirtualRequest> many = send(500, "fitters", 500);
            List<VirtualRequest> few = send(20, "hotels", 10);
            mSite.run(3_000);
            assertThat(countRefused(many, Refusal.QUEUE_FULL)).isPositive();
            assertThat(countRefused(few, Refusal.QUEUE_FULL)).isZero();
        }

        @Test
        void refuseEarlyWhatCannotStartWithinItsWaitLimit() {
            send(20, "fitters", 900);
            mSite.run(DRAIN_MS);
            List<VirtualRequest> requests = send(60, "fitters", 900);
            mSite.run(20);
            assertThat(countRefused(requests, Refusal.WAIT_LIMIT)).isPositive();
            assertThat(mSite.counters().get("admission.refused-early")).isPositive();
            mSite.run(DRAIN_MS);
            assertThat(requests).filteredOn(VirtualRequest::isAnswered).hasSizeGreaterThan(10);
        }

        @Test
        void dropManyCancelledRequestsInOneTick() {
            List<VirtualRequest> requests = send(60, "fitters", 2_000);
            mSite.run(50);
            long ran = requests.stream().filter(r -> r.runCount() > 0).count();
            requests.forEach(mSite::cancel);
            mSite.run(20);
            assertThat(mSite.entries().get("e1").world().requests().rows())
                    .hasSize((int) ran)
                    .allMatch(r -> !r.permits().isEmpty());
            mSite.run(DRAIN_MS);
            RequestSite.assertIdle(mSite);
            assertThat(requests.stream().filter(r -> r.runCount() > 0).count()).isEqualTo(ran);
        }
    }

    @Nested
    class Retries {
        @ParameterizedTest
        @EnumSource(names = {"UNREACHABLE", "DECLINING", "BROKEN_CONNECTION"})
        void completeIdempotentRequestsOfFaultyHost(TargetFault fault) {
            mSite.target("h1").setFault(fault);
            List<VirtualRequest> requests = new ArrayList<>();
            for (int i = 0; i < 50; i++) {
                requests.addAll(send(1, "fitters", 20));
                mSite.run(20);
            }
            mSite.run(DRAIN_MS);
            assertThat(requests).allMatch(VirtualRequest::isAnswered);
        }

        @Test
        void preferAnotherZone() {
            mSite.target("h1").setFault(TargetFault.BROKEN_CONNECTION);
            mSite.target("h2").setFault(TargetFault.BROKEN_CONNECTION);
            List<VirtualRequest> requests = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                requests.addAll(send(1, "fitters", 20));
                mSite.run(500);
            }
            assertThat(requests).allMatch(VirtualRequest::isAnswered);
            assertThat(requests).extracting(VirtualRequest::runCount).contains(2).doesNotContain(3);
        }

        @Test
        void stopAtTheRetryBudgetWhenEveryHostFails() {
            RequestSite.HOSTS.forEach(h -> mSite.target(h).setFault(TargetFault.BROKEN_CONNECTION));
            for (int i = 0; i < 200; i++) {
                send(1, "fitters", 10);
                mSite.run(5);
            }
            mSite.run(DRAIN_MS);
            long runs = mSite.requests().values().stream().mapToInt(VirtualRequest::runCount).sum();
            long started = mSite.requests().values().stream().filter(r -> r.runCount() > 0).count();
            assertThat(mSite.counters().get("retry.budget-spent")).isPositive();
            assertThat(runs).isLessThanOrEqualTo(started + 25);
        }
    }

    @Nested
    class Outliers {
        @Test
        void areQuarantinedAlthoughTheyRespondFast() {
            mSite.target("h1").setFault(TargetFault.SERVER_ERRORS);
            List<VirtualRequest> requests = new ArrayList<>();
            for (int i = 0; i < 400; i++) {
                requests.addAll(send(1, "fitters", 100));
                mSite.run(10);
            }
            long serverErrors = mSite.counters().get("attempt.server-error");
            assertThat(serverErrors).isLessThan(20);
            mSite.target("h1").setFault(TargetFault.NONE);
            mSite.run(40_000);
            send(24, "fitters", 100);
            mSite.run(50);
            assertThat(mSite.target("h1").runningRequests()).isPositive();
        }

        @Test
        void areQuarantinedOnlyWithinTheBudget() {
            mSite.target("h1").setFault(TargetFault.UNREACHABLE);
            mSite.target("h2").setFault(TargetFault.UNREACHABLE);
            mSite.target("h3").setFault(TargetFault.UNREACHABLE);
            for (int i = 0; i < 200; i++) {
                send(2, "fitters", 20);
                mSite.run(10);
                long quarantined =
                        mSite.entries().get("e1").world().hosts().rows().stream()
                                .filter(h -> h.quarantinedUntilMs() > mSite.nowMs() + 150)
                                .filter(h -> h.consecutiveFaults() >= 3)
                                .count();
                assertThat(quarantined).isLessThanOrEqualTo(1);
            }
            assertThat(mSite.counters().get("outlier.budget-spent")).isPositive();
        }
    }

    @Nested
    class LeavingEntries {
        @Test
        void finishRunningRequestsAndRefuseNewOnes() {
            List<VirtualRequest> running = send(10, "fitters", 1_500);
            mSite.run(100);
            mSite.shutDown("e1");
            mSite.run(20);
            VirtualRequest late = mSite.sendRequest("e1", "lookups", "fitters", 10);
            mSite.run(DRAIN_MS);
            assertThat(running).allMatch(VirtualRequest::isAnswered);
            assertThat(late.refusal()).contains(Refusal.ENTRY_LEAVING);
            assertThat(mSite.entries().get("e1").processState()).isEqualTo(ProcessState.DEAD);
        }
    }
}
