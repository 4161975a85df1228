package org.hibiscususher.standin.virtual;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.hibiscususher.core.config.QueueSpec;
import org.hibiscususher.core.escrow.EscrowQueries;
import org.hibiscususher.core.message.MemberState;
import org.hibiscususher.core.message.PermitKey;
import org.hibiscususher.core.world.HostStage;
import org.hibiscususher.core.world.LedgerRow;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that permits are neither lost nor granted twice, whatever happens to links and members.
 *
 * <p>{@link EscrowSite} also checks all limits after every virtual millisecond.
 */
class EscrowTest {
    private static final PermitKey H1 = PermitKey.slot("parts", "h1");
    private static final PermitKey FITTERS = PermitKey.unit("fitters");

    private final EscrowSite mEscrow = new EscrowSite(11);
    private final VirtualSite mSite = mEscrow.site();

    @Nested
    class Links {
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3})
        void withLossDuplicationAndReorderingKeepThePermitCount(long seed) {
            EscrowSite escrow = new EscrowSite(seed);
            escrow.site().network().setLinkBehaviour(1, 30, 0.2, 0.2);
            escrow.runUnderLoad(3_000, 60);
            escrow.site().network().setLinkBehaviour(1, 0, 0, 0);
            escrow.site().run(4_000);
            for (PermitKey key : new PermitKey[] {H1, FITTERS, PermitKey.longRun("parts")}) {
                LedgerRow row = escrow.allocator(key).world().ledger().find(key).orElseThrow();
                assertThat(escrow.held(key)).as("" + key).isEqualTo(row.outstanding());
            }
            assertThat(escrow.held(H1)).isEqualTo(EscrowSite.SLOTS);
        }
    }

    @Nested
    class Members {
        @Test
        void whoseAllocatorDiedGetAnother() {
            mEscrow.runUnderLoad(300, 100);
            String allocator = mEscrow.allocator(H1).id();
            mSite.kill(allocator);
            mEscrow.runUnderLoad(200, 100);
            mEscrow.writeMemberState(allocator, MemberState.DEAD, true);
            mEscrow.runUnderLoad(500, 100);
            assertThat(mEscrow.allocator(H1).id()).isNotEqualTo(allocator);
            mSite.run(QueueSpec.longestRunMs(EscrowSite.RUN_LIMIT_MS));
            assertThat(mEscrow.held(H1)).isEqualTo(EscrowSite.SLOTS);
        }

        @Test
        void thatDiedKeepTheirPermitsForTheLongestRun() {
            String holder = holderOtherThan(mEscrow.allocator(H1).id());
            int heldByAll = mEscrow.held(H1);
            mSite.kill(holder);
            int heldByOthers = mEscrow.held(H1);
            assertThat(heldByOthers).isLessThan(heldByAll);
            mEscrow.writeMemberState(holder, MemberState.DEAD, true);
            mSite.run(QueueSpec.longestRunMs(EscrowSite.RUN_LIMIT_MS) - 100);
            assertThat(mEscrow.held(H1)).isEqualTo(heldByOthers);
            mSite.run(400);
            assertThat(mEscrow.held(H1)).isEqualTo(heldByAll);
        }

        @Test
        void thatAreSilentKeepTheirPermitsUnderNewAllocator() {
            String allocator = mEscrow.allocator(H1).id();
            mEscrow.runUnderLoad(300, 100);
            mSite.pause(allocator);
            mEscrow.writeMemberState(allocator, MemberState.SILENT, true);
            mEscrow.runUnderLoad(2_000, 100);
            assertThat(
                            mEscrow.allocator(H1)
                                    .world()
                                    .allocatorTerms()
                                    .find(H1.permitGroup())
                                    .orElseThrow())
                    .matches(t -> t.awaitsClaims(), "awaits claims");
            mSite.resume(allocator);
            mEscrow.runUnderLoad(500, 100);
            assertThat(
                            mEscrow.allocator(H1)
                                    .world()
                                    .allocatorTerms()
                                    .find(H1.permitGroup())
                                    .orElseThrow())
                    .matches(t -> !t.awaitsClaims(), "has all claims");
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
        void mayPauseDieAndRestartInAnyOrder(long seed) {
            EscrowSite escrow = new EscrowSite(seed);
            Random random = new Random(seed);
            escrow.site().network().setLinkBehaviour(1, 20, 0.1, 0.1);
            for (int i = 0; i < 12; i++) {
                injectChange(escrow, "e" + (1 + random.nextInt(4)), random.nextInt(4));
                escrow.runUnderLoad(200, 100);
            }
        }

        /** Pauses or restarts an entry, or changes a limit; the membership record follows. */
        private void injectChange(EscrowSite escrow, String id, int kind) {
            VirtualSite site = escrow.site();
            switch (kind) {
                case 0 -> {
                    site.pause(id);
                    escrow.writeMemberState(id, MemberState.SILENT, true);
                    escrow.runUnderLoad(300, 100);
                    site.resume(id);
                    escrow.writeMemberState(id, MemberState.ACTIVE, true);
                }
                case 1 -> {
                    site.kill(id);
                    escrow.runUnderLoad(100, 100);
                    escrow.writeMemberState(id, MemberState.DEAD, true);
                    escrow.runUnderLoad(EscrowSite.RUN_LIMIT_MS + 50, 100);
                    escrow.writeMemberState(id, MemberState.DEAD, false);
                    site.start(id, "z1");
                }
                case 2 -> escrow.setLimit("fitters", 3);
                default -> escrow.setLimit("fitters", 7);
            }
        }
    }

    @Nested
    class Limits {
        @Test
        void thatAreLoweredRevokePermitsAsTheyBecomeFree() {
            mEscrow.runUnderLoad(500, 300);
            mEscrow.setLimit("fitters", 2);
            mEscrow.runUnderLoad(1_000, 100);
            assertThat(mEscrow.held(FITTERS)).isEqualTo(2);
            mEscrow.setLimit("fitters", 7);
            assertThat(mEscrow.awaitOutstanding(FITTERS, 7, 200)).isTrue();
        }
    }

    @Nested
    class RecalledHosts {
        @Test
        void returnAllSlotsOnlyAfterTheirLastRun() {
            mEscrow.runUnderLoad(500, 300);
            mEscrow.setStage("h1", HostStage.RECALLED);
            for (int i = 0; i < 600; i++) {
                mSite.run(1);
                boolean returned =
                        EscrowQueries.allSlotsReturned(mEscrow.allocator(H1).world(), "h1");
                assertThat(returned && mSite.target("h1").runningRequests() > 0).isFalse();
            }
            assertThat(EscrowQueries.allSlotsReturned(mEscrow.allocator(H1).world(), "h1"))
                    .isTrue();
            assertThat(mEscrow.held(H1)).isZero();
            mEscrow.setStage("h1", HostStage.IN_SERVICE);
            assertThat(mEscrow.awaitOutstanding(H1, EscrowSite.SLOTS, 300)).isTrue();
        }
    }

    /** Returns an entry, other than the given one, that holds slots of host h1. */
    private String holderOtherThan(String id) {
        return mSite.entries().values().stream()
                .filter(e -> !e.id().equals(id))
                .filter(e -> e.world().holdings().find(H1).map(h -> h.held() > 0).orElse(false))
                .findFirst()
                .orElseThrow()
                .id();
    }
}
