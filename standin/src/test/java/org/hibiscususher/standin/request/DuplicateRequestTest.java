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

/**
 * Tests in virtual time that requests with the same idempotency key run at most once.
 *
 * <p>Each key has one entry as its coordinator, chosen by rendezvous hash. The coordinator grants
 * the right to run; an entry that became coordinator after the key's timestamp can't know whether
 * its predecessor granted it, so it refuses with ID_NOT_VOUCHED.
 */
class DuplicateRequestTest {
    private final VirtualSite mSite = RequestSite.open(5);

    /** Sends a request that must not run twice. */
    private static VirtualRequest send(VirtualSite site, String entry, String key) {
        return site.sendRequest(entry, "lookups", "fitters", 30, false, key);
    }

    private static int totalRuns(List<VirtualRequest> requests) {
        return requests.stream().mapToInt(VirtualRequest::runCount).sum();
    }

    private String coordinatorOf(String key) {
        IdempotencyKey parsed = IdempotencyKey.parse(key).orElseThrow();
        return RendezvousHash.choose(
                        parsed.hashedName(),
                        mSite.entries().get("e1").world().membership().record())
                .orElseThrow();
    }

    /** Returns a key with the current timestamp whose coordinator is the given entry. */
    private String keyCoordinatedBy(String entry) {
        String key = RequestSite.key(mSite);
        while (!coordinatorOf(key).equals(entry)) {
            key = RequestSite.key(mSite);
        }
        return key;
    }

    @Nested
    class ResentKeys {
        @Test
        void runOnceThroughAnyEntry() {
            String key = RequestSite.key(mSite);
            VirtualRequest first = send(mSite, "e1", key);
            VirtualRequest second = send(mSite, "e2", key);
            mSite.run(500);
            VirtualRequest third = send(mSite, "e3", key);
            mSite.run(500);
            List<VirtualRequest> all = List.of(first, second, third);
            assertThat(totalRuns(all)).isEqualTo(1);
            assertThat(all).filteredOn(VirtualRequest::isAnswered).hasSize(1);
            assertThat(third.refusal()).contains(Refusal.DUPLICATE);
        }

        @Test
        void mayRunAfterRefusalWithoutRun() {
            RequestSite.HOSTS.forEach(h -> mSite.target(h).setFault(TargetFault.UNREACHABLE));
            String key = RequestSite.key(mSite);
            VirtualRequest first = send(mSite, "e1", key);
            mSite.run(3_000);
            assertThat(first.refusal().map(Refusal::executionStatus))
                    .isEqualTo(Optional.of(Refusal.WAIT_LIMIT.executionStatus()));
            RequestSite.HOSTS.forEach(h -> mSite.target(h).setFault(TargetFault.NONE));
            mSite.run(40_000);
            VirtualRequest second = send(mSite, "e2", key);
            mSite.run(1_000);
            assertThat(second.isAnswered()).isTrue();
        }

        @Test
        void areDuplicatesWhileTheFirstOutcomeIsUnknown() {
            RequestSite.HOSTS.forEach(h -> mSite.target(h).setFault(TargetFault.BROKEN_CONNECTION));
            String key = RequestSite.key(mSite);
            VirtualRequest first = send(mSite, "e1", key);
            mSite.run(500);
            assertThat(first.refusal()).contains(Refusal.OUTCOME_UNKNOWN);
            VirtualRequest second = send(mSite, "e2", key);
            mSite.run(500);
            assertThat(second.refusal()).contains(Refusal.DUPLICATE);
        }

        @Test
        void areRefusedByCoordinatorThatReplacedDeadOne() {
            String key = keyCoordinatedBy("e3");
            VirtualRequest first = send(mSite, "e1", key);
            mSite.run(500);
            assertThat(first.isAnswered()).isTrue();
            mSite.kill("e3");
            mSite.run(20_000);
            VirtualRequest second = send(mSite, "e2", key);
            mSite.run(2_000);
            assertThat(second.refusal()).contains(Refusal.ID_NOT_VOUCHED);
            assertThat(second.runCount()).isZero();
            VirtualRequest fresh = send(mSite, "e2", RequestSite.key(mSite));
            mSite.run(2_000);
            assertThat(fresh.isAnswered()).isTrue();
        }

        @Test
        void areRefusedWhileSilentCoordinatorMayStillGrant() {
            String key = keyCoordinatedBy("e3");
            mSite.pause("e3");
            mSite.run(20_000);
            String later = RequestSite.key(mSite);
            assertThat(coordinatorOf(key)).isNotEqualTo("e3");
            VirtualRequest request = send(mSite, "e1", key);
            VirtualRequest fresh = send(mSite, "e1", withCoordinatorOf(key, later));
            mSite.run(2_000);
            assertThat(request.refusal()).contains(Refusal.ID_NOT_VOUCHED);
            assertThat(fresh.isFinished()).isTrue();
        }

        /** Returns the candidate if both keys have the same coordinator, else a new such key. */
        private String withCoordinatorOf(String key, String candidate) {
            String coordinator = coordinatorOf(key);
            return coordinatorOf(candidate).equals(coordinator)
                    ? candidate
                    : keyCoordinatedBy(coordinator);
        }
    }

    @Nested
    class Keys {
        @Test
        void mustBeTimeOrderedUuids() {
            VirtualRequest randomUuid = send(mSite, "e1", "0b9b1f9e-6d3c-4f58-9a77-3f4f2c1d5e6f");
            VirtualRequest plainText = send(mSite, "e1", "order-17");
            mSite.run(100);
            assertThat(randomUuid.refusal()).contains(Refusal.IDEMPOTENCY_KEY_MALFORMED);
            assertThat(plainText.refusal()).contains(Refusal.IDEMPOTENCY_KEY_MALFORMED);
        }

        @Test
        void withFutureOrExpiredTimestampAreRefused() {
            String expired = RequestSite.key(mSite);
            mSite.run(301_000);
            VirtualRequest past = send(mSite, "e1", expired);
            long futureBits = mSite.nowMs() + 4_000 << 16 | 0x7001;
            String future = new java.util.UUID(futureBits, Long.MIN_VALUE | 5).toString();
            VirtualRequest early = send(mSite, "e2", future);
            mSite.run(2_000);
            assertThat(past.refusal()).contains(Refusal.ID_NOT_VOUCHED);
            assertThat(early.refusal()).contains(Refusal.ID_NOT_VOUCHED);
        }

        @Test
        void areDroppedAfterTheirRetention() {
            send(mSite, "e1", RequestSite.key(mSite));
            mSite.run(320_000);
            assertThat(mSite.entries().values())
                    .allMatch(e -> e.world().idempotencyKeys().size() == 0);
        }
    }

    @Nested
    class UnderFaults {
        @ParameterizedTest
        @ValueSource(longs = {21, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31, 32})
        void keysRunAtMostOnce(long seed) {
            VirtualSite site = RequestSite.open(seed);
            site.network().setLinkBehaviour(1, 40, 0.15, 0.15);
            Map<String, List<VirtualRequest>> requestsByKey = new LinkedHashMap<>();
            Random random = site.random();
            for (int step = 0; step < 500; step++) {
                injectFault(site, random);
                sendNewOrKnownKey(site, random, requestsByKey);
                site.run(random.nextInt(150));
            }
            site.network().setLinkBehaviour(1, 0, 0, 0);
            site.network().restoreAllLinks();
            site.entries().values().stream()
                    .filter(e -> e.processState() == ProcessState.PAUSED)
                    .toList()
                    .forEach(e -> site.resume(e.id()));
            site.run(30_000);
            requestsByKey
                    .values()
                    .forEach(sent -> assertThat(totalRuns(sent)).isLessThanOrEqualTo(1));
            long ran = requestsByKey.values().stream().filter(sent -> totalRuns(sent) == 1).count();
            assertThat(ran).as("keys that ran, of %s", requestsByKey.size()).isGreaterThan(5);
            RequestSite.assertIdle(site);
        }

        /** Sends a new key, or with probability 2/3 one of the last 40, through a random entry. */
        private void sendNewOrKnownKey(
                VirtualSite site, Random random, Map<String, List<VirtualRequest>> requestsByKey) {
            String entry = RequestSite.ENTRIES.get(random.nextInt(3));
            List<String> keys = List.copyOf(requestsByKey.keySet());
            boolean resend = !keys.isEmpty() && random.nextInt(3) > 0;
            int recent = Math.min(keys.size(), 40);
            String key =
                    resend
                            ? keys.get(keys.size() - 1 - random.nextInt(recent))
                            : RequestSite.key(site);
            List<VirtualRequest> sent =
                    new java.util.ArrayList<>(requestsByKey.getOrDefault(key, List.of()));
            sent.add(send(site, entry, key));
            requestsByKey.put(key, sent);
        }

        /** Injects or ends a random fault: killed or paused entries, cut links, no store access. */
        private void injectFault(VirtualSite site, Random random) {
            String entry = RequestSite.ENTRIES.get(random.nextInt(3));
            String other = RequestSite.ENTRIES.get(random.nextInt(3));
            ProcessState state = site.entries().get(entry).processState();
            switch (random.nextInt(60)) {
                case 0 -> {
                    if (state == ProcessState.RUNNING) {
                        site.kill(entry);
                    }
                }
                case 1, 2, 3 -> {
                    if (state == ProcessState.DEAD) {
                        site.start(entry, "z1");
                    }
                }
                case 4 -> {
                    if (state == ProcessState.RUNNING) {
                        site.pause(entry);
                    }
                }
                case 5, 6, 7 -> {
                    if (state == ProcessState.PAUSED) {
                        site.resume(entry);
                    }
                }
                case 8 -> site.network().setCut(entry, other, true);
                case 9, 10 -> site.network().restoreAllLinks();
                case 11 -> site.store().setReachable(entry, false);
                case 12, 13 -> site.store().setReachable(entry, true);
                default -> {
                    // No change in most steps.
                }
            }
        }
    }
}
