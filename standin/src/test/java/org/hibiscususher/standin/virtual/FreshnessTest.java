package org.hibiscususher.standin.virtual;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.Refusal;
import org.hibiscususher.core.rollout.Freshness;
import org.hibiscususher.core.world.ControlSettings;
import org.hibiscususher.standin.store.StoreFault;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests that no entry serves requests on a configuration older than the freshness bound.
 *
 * <p>An entry that can't show within the bound that its configuration is current could still accept
 * a key that was withdrawn elsewhere, so it must refuse requests.
 */
class FreshnessTest {
    private static final long SEED = 5;
    private static final long FRESHNESS_BOUND_MS = ControlSettings.DEFAULT.freshnessMs();
    private static final long TICK_MS = 10;

    private final MembershipSite mMembership = new MembershipSite(SEED, 4);
    private final VirtualSite mSite = mMembership.site();

    @BeforeEach
    void openSite() {
        mMembership.openQueue();
        assertThat(mMembership.entryIds()).allMatch(this::isFresh);
    }

    private boolean isFresh(String id) {
        return Freshness.isFresh(mSite.entries().get(id).world(), mSite.nowMs());
    }

    /** Sends a request to every entry every 50 ms for a time; returns the requests. */
    private List<VirtualRequest> sendToAllEntries(long ms) {
        List<VirtualRequest> requests = new ArrayList<>();
        for (long end = mSite.nowMs() + ms; mSite.nowMs() < end; mSite.run(50)) {
            for (String id : mMembership.entryIds()) {
                requests.add(mSite.sendRequest(id, "lookups", "fitters", 10));
            }
        }
        return requests;
    }

    /** Faults of an entry or the store that begin just before a key is withdrawn. */
    private enum Fault {
        /** No fault. */
        NONE {
            @Override
            void begin(MembershipSite membership) {}
        },
        /** The store's watches deliver no changes. */
        WATCH_FROZEN {
            @Override
            void begin(MembershipSite membership) {
                membership.site().store().setFault(StoreFault.FROZEN_WATCH);
            }
        },
        /** The store responds late. */
        STORE_SLOW {
            @Override
            void begin(MembershipSite membership) {
                membership.site().store().setFault(StoreFault.SLOW);
            }
        },
        /** The store fails as soon as it has written the new configuration. */
        STORE_DOWN_AFTER_WRITE {
            @Override
            void begin(MembershipSite membership) {
                VirtualSite site = membership.site();
                long version = site.store().find(RecordKey.HEAD).orElseThrow().version();
                site.setAfterStep(
                        () -> {
                            if (site.store().find(RecordKey.HEAD).orElseThrow().version()
                                    > version) {
                                site.store().setFault(StoreFault.DOWN);
                            }
                        });
            }
        },
        /** One entry can't reach the store. */
        CUT_FROM_STORE {
            @Override
            void begin(MembershipSite membership) {
                membership.site().store().setReachable("e3", false);
            }
        },
        /** One entry has no link to its peers, and watches deliver no changes. */
        CUT_FROM_PEERS {
            @Override
            void begin(MembershipSite membership) {
                membership.setLinksCut("e3", true, true, true);
                membership.site().store().setFault(StoreFault.FROZEN_WATCH);
            }
        },
        /** One entry can reach neither the store nor its peers. */
        CUT_FROM_STORE_AND_PEERS {
            @Override
            void begin(MembershipSite membership) {
                membership.setLinksCut("e3", true, true, true);
                membership.site().store().setReachable("e3", false);
            }
        },
        /** One entry can't reach the store and gets no messages of its peers, but sends them. */
        CUT_FROM_STORE_AND_INBOUND {
            @Override
            void begin(MembershipSite membership) {
                membership.setLinksCut("e3", true, false, true);
                membership.site().store().setReachable("e3", false);
            }
        },
        /** One entry can't reach the store, and its peers get none of its messages. */
        CUT_FROM_STORE_AND_OUTBOUND {
            @Override
            void begin(MembershipSite membership) {
                membership.setLinksCut("e3", false, true, true);
                membership.site().store().setReachable("e3", false);
            }
        },
        /** One entry can't reach the store; all links delay, lose and duplicate messages. */
        CUT_FROM_STORE_WITH_LOSSY_LINKS {
            @Override
            void begin(MembershipSite membership) {
                membership.site().network().setLinkBehaviour(5, 200, 0.3, 0.3);
                membership.site().store().setReachable("e3", false);
            }
        },
        /** One entry is paused for 2.5 s and can reach neither the store nor its peers. */
        PAUSED_AND_CUT_FROM_STORE_AND_PEERS {
            @Override
            void begin(MembershipSite membership) {
                membership.setLinksCut("e3", true, true, true);
                membership.site().store().setReachable("e3", false);
                membership.site().pause("e3");
                membership.site().clock().after(2_500, () -> membership.site().resume("e3"));
            }
        },
        /** Another member is killed. */
        ANOTHER_MEMBER_DEAD {
            @Override
            void begin(MembershipSite membership) {
                membership.site().kill("e4");
            }
        };

        /** Starts the fault. */
        abstract void begin(MembershipSite membership);
    }

    @Nested
    class WithdrawnKeys {
        @ParameterizedTest
        @EnumSource(Fault.class)
        void areRefusedWithinTheBound(Fault fault) {
            long version = mSite.store().find(RecordKey.HEAD).orElseThrow().version();
            fault.begin(mMembership);
            mMembership.withdrawKey();
            long writtenMs = -1;
            List<VirtualRequest> requests = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                requests.addAll(sendToAllEntries(50));
                long currentVersion = mSite.store().find(RecordKey.HEAD).orElseThrow().version();
                writtenMs = writtenMs < 0 && currentVersion > version ? mSite.nowMs() : writtenMs;
            }
            assertThat(writtenMs).as("the note was written").isPositive();
            long endMs = writtenMs + FRESHNESS_BOUND_MS + TICK_MS;
            mSite.run(2_000);
            assertThat(requests)
                    .filteredOn(r -> r.arrivedMs() > endMs)
                    .isNotEmpty()
                    .allMatch(r -> r.runCount() == 0);
            assertThat(requests)
                    .filteredOn(r -> r.refusal().isPresent())
                    .allMatch(r -> r.runCount() == 0);
        }
    }

    @Nested
    class IsolatedEntries {
        @Test
        void refuseRequestsWithoutRunningThem() {
            mMembership.setLinksCut("e3", true, true, true);
            mSite.store().setReachable("e3", false);
            mSite.run(FRESHNESS_BOUND_MS + 100);
            VirtualRequest request = mSite.sendRequest("e3", "lookups", "fitters", 10);
            mSite.run(100);
            assertThat(request.refusal()).contains(Refusal.CONFIGURATION_STALE);
            assertThat(request.runCount()).isZero();
            assertThat(mMembership.entryIds()).filteredOn(FreshnessTest.this::isFresh).hasSize(3);
        }

        @Test
        void areFreshSoonAfterTheStoreIsReachable() {
            mMembership.setLinksCut("e3", true, true, true);
            mSite.store().setReachable("e3", false);
            mSite.run(30_000);
            mSite.store().setReachable("e3", true);
            mSite.run(3_000);
            assertThat(isFresh("e3")).isTrue();
        }
    }

    @Nested
    class StoreOutages {
        @Test
        void areBridgedWhileAllMembersRespond() {
            mSite.store().setFault(StoreFault.DOWN);
            mSite.run(10_000);
            assertThat(sendToAllEntries(60_000))
                    .filteredOn(r -> !r.isAnswered())
                    .hasSizeLessThan(10);
        }

        @Test
        void areBridgedWhenDeadMemberIsDetected() {
            mSite.store().setFault(StoreFault.DOWN);
            mSite.run(10_000);
            mSite.kill("e4");
            mSite.run(20_000);
            assertThat(List.of("e1", "e2", "e3")).allMatch(FreshnessTest.this::isFresh);
        }

        @Test
        void areBridgedWhenMemberWasAlreadySilent() {
            mSite.pause("e4");
            mSite.run(15_000);
            mSite.store().setFault(StoreFault.DOWN);
            mSite.run(20_000);
            assertThat(List.of("e1", "e2", "e3")).allMatch(FreshnessTest.this::isFresh);
        }

        @Test
        void stopServiceWhileMemberIsSilentWithoutEvidenceOfItsEnd() {
            mSite.store().setFault(StoreFault.DOWN);
            mSite.run(10_000);
            mSite.pause("e4");
            mSite.run(FRESHNESS_BOUND_MS + 1_000);
            assertThat(mMembership.entryIds()).noneMatch(FreshnessTest.this::isFresh);
            mSite.resume("e4");
            mSite.run(1_000);
            assertThat(mMembership.entryIds()).allMatch(FreshnessTest.this::isFresh);
        }
    }

    @Nested
    class PausedEntries {
        @Test
        void startNoRequestBeforeTheyConfirmTheirConfiguration() {
            VirtualEntry entry = mSite.entries().get("e3");
            mSite.store().setReachable("e3", false);
            mSite.pause("e3");
            mSite.run(1_500);
            mMembership.setLinksCut("e3", true, true, true);
            VirtualRequest request = mSite.sendRequest("e3", "lookups", "fitters", 10);
            mSite.resume("e3");
            mSite.run(100);
            assertThat(entry.world().node().resumedMs()).isGreaterThan(mSite.nowMs() - 200);
            assertThat(request.refusal()).contains(Refusal.CONFIGURATION_STALE);
            assertThat(request.runCount()).isZero();
        }

        @Test
        void areFreshAtOnceWhenTheStoreResponds() {
            mSite.pause("e3");
            mSite.run(60_000);
            mSite.resume("e3");
            mSite.run(200);
            assertThat(isFresh("e3")).isTrue();
        }
    }
}
