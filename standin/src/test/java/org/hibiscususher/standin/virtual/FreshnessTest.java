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

class FreshnessTest {
    private static final long SEED = 5;
    private static final long BOUND_MS = ControlSettings.DEFAULT.freshnessMs();
    private static final long TICK_MS = 10;

    private final Members mMembers = new Members(SEED, 4);
    private final VirtualSite mSite = mMembers.site();

    @BeforeEach
    void openSite() {
        mMembers.open();
        assertThat(mMembers.ids()).allMatch(this::vouches);
    }

    private boolean vouches(String id) {
        return Freshness.isFresh(mSite.entries().get(id).world(), mSite.nowMs());
    }

    /** Calls every entry again and again for a time, and returns the requests. */
    private List<VirtualRequest> callAll(long ms) {
        List<VirtualRequest> requests = new ArrayList<>();
        for (long end = mSite.nowMs() + ms; mSite.nowMs() < end; mSite.run(50)) {
            for (String id : mMembers.ids()) {
                requests.add(mSite.sendRequest(id, "lookups", "fitters", 10));
            }
        }
        return requests;
    }

    /** Faults that befall an entry or the store while a key is withdrawn. */
    private enum Fault {
        NONE {
            @Override
            void begin(Members members) {}
        },
        WATCH_FROZEN {
            @Override
            void begin(Members members) {
                members.site().store().setFault(StoreFault.FROZEN_WATCH);
            }
        },
        STORE_SLOW {
            @Override
            void begin(Members members) {
                members.site().store().setFault(StoreFault.SLOW);
            }
        },
        STORE_DOWN_AFTER_THE_WRITE {
            @Override
            void begin(Members members) {
                VirtualSite site = members.site();
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
        CUT_FROM_STORE {
            @Override
            void begin(Members members) {
                members.site().store().setReachable("e3", false);
            }
        },
        CUT_FROM_PEERS {
            @Override
            void begin(Members members) {
                members.cut("e3", true, true, true);
                members.site().store().setFault(StoreFault.FROZEN_WATCH);
            }
        },
        CUT_FROM_ALL {
            @Override
            void begin(Members members) {
                members.cut("e3", true, true, true);
                members.site().store().setReachable("e3", false);
            }
        },
        DEAF_AND_CUT_FROM_STORE {
            @Override
            void begin(Members members) {
                members.cut("e3", true, false, true);
                members.site().store().setReachable("e3", false);
            }
        },
        DUMB_AND_CUT_FROM_STORE {
            @Override
            void begin(Members members) {
                members.cut("e3", false, true, true);
                members.site().store().setReachable("e3", false);
            }
        },
        LOSSY_LINKS_WITHOUT_STORE {
            @Override
            void begin(Members members) {
                members.site().network().setLinkBehaviour(5, 200, 0.3, 0.3);
                members.site().store().setReachable("e3", false);
            }
        },
        PAUSED_AND_CUT_FROM_ALL {
            @Override
            void begin(Members members) {
                members.cut("e3", true, true, true);
                members.site().store().setReachable("e3", false);
                members.site().pause("e3");
                members.site().clock().after(2_500, () -> members.site().resume("e3"));
            }
        },
        ANOTHER_MEMBER_DEAD {
            @Override
            void begin(Members members) {
                members.site().kill("e4");
            }
        };

        abstract void begin(Members members);
    }

    @Nested
    class WithdrawnKeys {
        @ParameterizedTest
        @EnumSource(Fault.class)
        void stopWithinTheBound(Fault fault) {
            long version = mSite.store().find(RecordKey.HEAD).orElseThrow().version();
            fault.begin(mMembers);
            mMembers.withdrawKey();
            long writtenMs = -1;
            List<VirtualRequest> requests = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                requests.addAll(callAll(50));
                long now = mSite.store().find(RecordKey.HEAD).orElseThrow().version();
                writtenMs = writtenMs < 0 && now > version ? mSite.nowMs() : writtenMs;
            }
            assertThat(writtenMs).as("the note was written").isPositive();
            long endMs = writtenMs + BOUND_MS + TICK_MS;
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
    class EntriesCutFromAll {
        @Test
        void refuseAndSayTruthfullyThatNothingRan() {
            mMembers.cut("e3", true, true, true);
            mSite.store().setReachable("e3", false);
            mSite.run(BOUND_MS + 100);
            VirtualRequest request = mSite.sendRequest("e3", "lookups", "fitters", 10);
            mSite.run(100);
            assertThat(request.refusal()).contains(Refusal.CONFIGURATION_STALE);
            assertThat(request.runCount()).isZero();
            assertThat(mMembers.ids()).filteredOn(FreshnessTest.this::vouches).hasSize(3);
        }

        @Test
        void serveAgainSoonAfterTheyAreBack() {
            mMembers.cut("e3", true, true, true);
            mSite.store().setReachable("e3", false);
            mSite.run(30_000);
            mSite.store().setReachable("e3", true);
            mSite.run(3_000);
            assertThat(vouches("e3")).isTrue();
        }
    }

    @Nested
    class StoreOutages {
        @Test
        void areOutlivedByTheWordOfAllMembers() {
            mSite.store().setFault(StoreFault.DOWN);
            mSite.run(10_000);
            assertThat(callAll(60_000)).filteredOn(r -> !r.isAnswered()).hasSizeLessThan(10);
        }

        @Test
        void areOutlivedWhenAMemberEndsWithProof() {
            mSite.store().setFault(StoreFault.DOWN);
            mSite.run(10_000);
            mSite.kill("e4");
            mSite.run(20_000);
            assertThat(List.of("e1", "e2", "e3")).allMatch(FreshnessTest.this::vouches);
        }

        @Test
        void areOutlivedWhenAMemberWasSilentBefore() {
            mSite.pause("e4");
            mSite.run(15_000);
            mSite.store().setFault(StoreFault.DOWN);
            mSite.run(20_000);
            assertThat(List.of("e1", "e2", "e3")).allMatch(FreshnessTest.this::vouches);
        }

        @Test
        void endServiceWhenAMemberFallsSilentWithoutProof() {
            mSite.store().setFault(StoreFault.DOWN);
            mSite.run(10_000);
            mSite.pause("e4");
            mSite.run(BOUND_MS + 1_000);
            assertThat(mMembers.ids()).noneMatch(FreshnessTest.this::vouches);
            mSite.resume("e4");
            mSite.run(1_000);
            assertThat(mMembers.ids()).allMatch(FreshnessTest.this::vouches);
        }
    }

    @Nested
    class PausedEntries {
        @Test
        void startNothingBeforeTheyHaveAskedAnew() {
            VirtualEntry entry = mSite.entries().get("e3");
            mSite.store().setReachable("e3", false);
            mSite.pause("e3");
            mSite.run(1_500);
            mMembers.cut("e3", true, true, true);
            VirtualRequest request = mSite.sendRequest("e3", "lookups", "fitters", 10);
            mSite.resume("e3");
            mSite.run(100);
            assertThat(entry.world().node().resumedMs()).isGreaterThan(mSite.nowMs() - 200);
            assertThat(request.refusal()).contains(Refusal.CONFIGURATION_STALE);
            assertThat(request.runCount()).isZero();
        }

        @Test
        void serveAgainAtOnceWhereTheStoreAnswers() {
            mSite.pause("e3");
            mSite.run(60_000);
            mSite.resume("e3");
            mSite.run(200);
            assertThat(vouches("e3")).isTrue();
        }
    }
}
