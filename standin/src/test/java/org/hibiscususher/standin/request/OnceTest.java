package org.hibiscususher.standin.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.hibiscususher.core.membership.RendezvousHash;
import org.hibiscususher.core.message.Refusal;
import org.hibiscususher.core.world.IdempotencyKey;
import org.hibiscususher.standin.virtual.ProcessState;
import org.hibiscususher.standin.virtual.TargetFault;
import org.hibiscususher.standin.virtual.VirtualRequest;
import org.hibiscususher.standin.virtual.VirtualSite;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests that must not run twice, sent again by their callers, in virtual time. */
class OnceTest {
    private final VirtualSite mSite = RequestSite.open(5);

    private static VirtualRequest order(VirtualSite site, String entry, String key) {
        return site.sendRequest(entry, "lookups", "fitters", 30, false, key);
    }

    private static int totalRuns(List<VirtualRequest> requests) {
        return requests.stream().mapToInt(VirtualRequest::runCount).sum();
    }

    private String homeOf(String key) {
        IdempotencyKey parsed = IdempotencyKey.parse(key).orElseThrow();
        return RendezvousHash.choose(
                        parsed.hashedName(),
                        mSite.entries().get("e1").world().membership().record())
                .orElseThrow();
    }

    /** Returns a key of the present time whose home is, or is not, the given entry. */
    private String keyWithHome(String entry) {
        String key = RequestSite.key(mSite);
        while (!homeOf(key).equals(entry)) {
            key = RequestSite.key(mSite);
        }
        return key;
    }

    @Nested
    class KeysSentAgain {
        @Test
        void runOnceWhateverTheEntry() {
            String key = RequestSite.key(mSite);
            VirtualRequest first = order(mSite, "e1", key);
            VirtualRequest second = order(mSite, "e2", key);
            mSite.run(500);
            VirtualRequest third = order(mSite, "e3", key);
            mSite.run(500);
            List<VirtualRequest> all = List.of(first, second, third);
            assertThat(totalRuns(all)).isEqualTo(1);
            assertThat(all).filteredOn(VirtualRequest::isAnswered).hasSize(1);
            assertThat(third.refusal()).contains(Refusal.DUPLICATE);
        }

        @Test
        void mayRunAfterATrueNotRun() {
            RequestSite.HOSTS.forEach(h -> mSite.target(h).setFault(TargetFault.UNREACHABLE));
            String key = RequestSite.key(mSite);
            VirtualRequest first = order(mSite, "e1", key);
            mSite.run(3_000);
            assertThat(first.refusal().map(Refusal::executionStatus))
                    .isEqualTo(Optional.of(Refusal.WAIT_LIMIT.executionStatus()));
            RequestSite.HOSTS.forEach(h -> mSite.target(h).setFault(TargetFault.NONE));
            mSite.run(40_000);
            VirtualRequest second = order(mSite, "e2", key);
            mSite.run(1_000);
            assertThat(second.isAnswered()).isTrue();
        }

        @Test
        void stayUnknownWhenTheFirstWas() {
            RequestSite.HOSTS.forEach(h -> mSite.target(h).setFault(TargetFault.BROKEN_CONNECTION));
            String key = RequestSite.key(mSite);
            VirtualRequest first = order(mSite, "e1", key);
            mSite.run(500);
            assertThat(first.refusal()).contains(Refusal.OUTCOME_UNKNOWN);
            VirtualRequest second = order(mSite, "e2", key);
            mSite.run(500);
            assertThat(second.refusal()).contains(Refusal.DUPLICATE);
        }

        @Test
        void areNotVouchedForByAHomeThatTookOver() {
            String key = keyWithHome("e3");
            VirtualRequest first = order(mSite, "e1", key);
            mSite.run(500);
            assertThat(first.isAnswered()).isTrue();
            mSite.kill("e3");
            mSite.run(20_000);
            VirtualRequest second = order(mSite, "e2", key);
            mSite.run(2_000);
            assertThat(second.refusal()).contains(Refusal.ID_NOT_VOUCHED);
            assertThat(second.runCount()).isZero();
            VirtualRequest fresh = order(mSite, "e2", RequestSite.key(mSite));
            mSite.run(2_000);
            assertThat(fresh.isAnswered()).isTrue();
        }

        @Test
        void areNotVouchedForWhileASilentHomeMayStillGrant() {
            String key = keyWithHome("e3");
            mSite.pause("e3");
            mSite.run(20_000);
            String later = RequestSite.key(mSite);
            assertThat(homeOf(key)).isNotEqualTo("e3");
            VirtualRequest request = order(mSite, "e1", key);
            VirtualRequest fresh = order(mSite, "e1", sameHome(later, key));
            mSite.run(2_000);
            assertThat(request.refusal()).contains(Refusal.ID_NOT_VOUCHED);
            assertThat(fresh.isFinished()).isTrue();
        }

        private String sameHome(String key, String like) {
            return homeOf(key).equals(homeOf(like)) ? key : keyWithHome(homeOf(like));
        }
    }

    @Nested
    class Keys {
        @Test
        void mustBeTimeOrdered() {
            VirtualRequest random = order(mSite, "e1", "0b9b1f9e-6d3c-4f58-9a77-3f4f2c1d5e6f");
            VirtualRequest word = order(mSite, "e1", "order-17");
            mSite.run(100);
            assertThat(random.refusal()).contains(Refusal.IDEMPOTENCY_KEY_MALFORMED);
            assertThat(word.refusal()).contains(Refusal.IDEMPOTENCY_KEY_MALFORMED);
        }

        @Test
        void ofTheFutureOrTheFarPastAreNotVouchedFor() {
            String early = RequestSite.key(mSite);
            mSite.run(301_000);
            VirtualRequest old = order(mSite, "e1", early);
            long ahead = mSite.nowMs() + 4_000 << 16 | 0x7001;
            String future = new java.util.UUID(ahead, Long.MIN_VALUE | 5).toString();
            VirtualRequest next = order(mSite, "e2", future);
            mSite.run(2_000);
            assertThat(old.refusal()).contains(Refusal.ID_NOT_VOUCHED);
            assertThat(next.refusal()).contains(Refusal.ID_NOT_VOUCHED);
        }

        @Test
        void areForgottenAfterAWhile() {
            order(mSite, "e1", RequestSite.key(mSite));
            mSite.run(320_000);
            assertThat(mSite.entries().values())
                    .allMatch(e -> e.world().idempotencyKeys().size() == 0);
        }
    }

    @Nested
    class UnderFaults {
        @ParameterizedTest
        @ValueSource(longs = {21, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31, 32})
        void noKeyRunsTwice(long seed) {
            VirtualSite site = RequestSite.open(seed);
            site.network().setLinkBehaviour(1, 40, 0.15, 0.15);
            Map<String, List<VirtualRequest>> orders = new LinkedHashMap<>();
            Random random = site.random();
            for (int step = 0; step < 500; step++) {
                disturb(site, random);
                send(site, random, orders);
                site.run(random.nextInt(150));
            }
            site.network().setLinkBehaviour(1, 0, 0, 0);
            site.network().restoreAllLinks();
            site.entries().values().stream()
                    .filter(e -> e.processState() == ProcessState.PAUSED)
                    .toList()
                    .forEach(e -> site.resume(e.id()));
            site.run(30_000);
            orders.values().forEach(o -> assertThat(totalRuns(o)).isLessThanOrEqualTo(1));
            long ran = orders.values().stream().filter(o -> totalRuns(o) == 1).count();
            assertThat(ran).as("keys that ran, of %s", orders.size()).isGreaterThan(5);
            RequestSite.assertIdle(site);
        }

        private void send(
                VirtualSite site, Random random, Map<String, List<VirtualRequest>> orders) {
            String entry = RequestSite.ENTRIES.get(random.nextInt(3));
            List<String> keys = List.copyOf(orders.keySet());
            boolean again = !keys.isEmpty() && random.nextInt(3) > 0;
            int recent = Math.min(keys.size(), 40);
            String key =
                    again
                            ? keys.get(keys.size() - 1 - random.nextInt(recent))
                            : RequestSite.key(site);
            List<VirtualRequest> sent =
                    new java.util.ArrayList<>(orders.getOrDefault(key, List.of()));
            sent.add(order(site, entry, key));
            orders.put(key, sent);
        }

        private void disturb(VirtualSite site, Random random) {
            String entry = RequestSite.ENTRIES.get(random.nextInt(3));
            String other = RequestSite.ENTRIES.get(random.nextInt(3));
            ProcessState condition = site.entries().get(entry).processState();
            switch (random.nextInt(60)) {
                case 0 -> {
                    if (condition == ProcessState.RUNNING) {
                        site.kill(entry);
                    }
                }
                case 1, 2, 3 -> {
                    if (condition == ProcessState.DEAD) {
                        site.start(entry, "z1");
                    }
                }
                case 4 -> {
                    if (condition == ProcessState.RUNNING) {
                        site.pause(entry);
                    }
                }
                case 5, 6, 7 -> {
                    if (condition == ProcessState.PAUSED) {
                        site.resume(entry);
                    }
                }
                case 8 -> site.network().setCut(entry, other, true);
                case 9, 10 -> site.network().restoreAllLinks();
                case 11 -> site.store().setReachable(entry, false);
                case 12, 13 -> site.store().setReachable(entry, true);
                default -> {
                    // All goes on as it is.
                }
            }
        }
    }
}
