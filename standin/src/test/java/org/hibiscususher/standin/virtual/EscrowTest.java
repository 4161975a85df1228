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

class EscrowTest {
    private static final PermitKey H1 = PermitKey.slot("parts", "h1");
    private static final PermitKey FITTERS = PermitKey.unit("fitters");

    private final EscrowSite mEscrow = new EscrowSite(11);
    private final VirtualSite mSite = mEscrow.site();

    @Nested
    class Links {
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3})
        void thatLoseDoubleAndReorderMessagesNeitherLoseNorDoublePermits(long seed) {
            EscrowSite escrow = new EscrowSite(seed);
            escrow.site().network().setLinkBehaviour(1, 30, 0.2, 0.2);
            escrow.load(3_000, 60);
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
        void thatAllocateAreReplacedOnceTheyAreDead() {
            mEscrow.load(300, 100);
            String allocator = mEscrow.allocator(H1).id();
            mSite.kill(allocator);
            mEscrow.load(200, 100);
            mEscrow.mark(allocator, MemberState.DEAD, true);
            mEscrow.load(500, 100);
            assertThat(mEscrow.allocator(H1).id()).isNotEqualTo(allocator);
            mSite.run(QueueSpec.longestRunMs(EscrowSite.RUN_LIMIT_MS));
            assertThat(mEscrow.held(H1)).isEqualTo(EscrowSite.SLOTS);
        }

        @Test
        void thatDiedLeaveTheirPermitsToRest() {
            String holder = otherThan(mEscrow.allocator(H1).id());
            int before = mEscrow.held(H1);
            mSite.kill(holder);
            int without = mEscrow.held(H1);
            assertThat(without).isLessThan(before);
            mEscrow.mark(holder, MemberState.DEAD, true);
            mSite.run(QueueSpec.longestRunMs(EscrowSite.RUN_LIMIT_MS) - 100);
            assertThat(mEscrow.held(H1)).isEqualTo(without);
            mSite.run(400);
            assertThat(mEscrow.held(H1)).isEqualTo(before);
        }

        @Test
        void thatAreSilentKeepTheirPermitsUnderANewAllocator() {
            String allocator = mEscrow.allocator(H1).id();
            mEscrow.load(300, 100);
            mSite.pause(allocator);
            mEscrow.mark(allocator, MemberState.SILENT, true);
            mEscrow.load(2_000, 100);
            assertThat(
                            mEscrow.allocator(H1)
                                    .world()
                                    .allocatorTerms()
                                    .find(H1.permitGroup())
                                    .orElseThrow())
                    .matches(t -> t.awaitsClaims(), "in doubt");
            mSite.resume(allocator);
            mEscrow.load(500, 100);
            assertThat(
                            mEscrow.allocator(H1)
                                    .world()
                                    .allocatorTerms()
                                    .find(H1.permitGroup())
                                    .orElseThrow())
                    .matches(t -> !t.awaitsClaims(), "settled");
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
        void mayComeAndGoInAnyOrder(long seed) {
            EscrowSite escrow = new EscrowSite(seed);
            Random random = new Random(seed);
            escrow.site().network().setLinkBehaviour(1, 20, 0.1, 0.1);
            for (int i = 0; i < 12; i++) {
                disturb(escrow, "e" + (1 + random.nextInt(4)), random.nextInt(4));
                escrow.load(200, 100);
            }
        }

        private void disturb(EscrowSite escrow, String id, int kind) {
            VirtualSite site = escrow.site();
            switch (kind) {
                case 0 -> {
                    site.pause(id);
                    escrow.mark(id, MemberState.SILENT, true);
                    escrow.load(300, 100);
                    site.resume(id);
                    escrow.mark(id, MemberState.ACTIVE, true);
                }
                case 1 -> {
                    site.kill(id);
                    escrow.load(100, 100);
                    escrow.mark(id, MemberState.DEAD, true);
                    escrow.load(EscrowSite.RUN_LIMIT_MS + 50, 100);
                    escrow.mark(id, MemberState.DEAD, false);
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
        void thatAreLoweredWhileFullTakePermitsAsTheyComeFree() {
            mEscrow.load(500, 300);
            mEscrow.setLimit("fitters", 2);
            mEscrow.load(1_000, 100);
            assertThat(mEscrow.held(FITTERS)).isEqualTo(2);
            mEscrow.setLimit("fitters", 7);
            assertThat(mEscrow.reaches(FITTERS, 7, 200)).isTrue();
        }
    }

    @Nested
    class Hosts {
        @Test
        void areAllBackOnceNothingRunsOnThemAnyMore() {
            mEscrow.load(500, 300);
            mEscrow.setStage("h1", HostStage.RECALLED);
            for (int i = 0; i < 600; i++) {
                mSite.run(1);
                boolean back = EscrowQueries.allSlotsReturned(mEscrow.allocator(H1).world(), "h1");
                assertThat(back && mSite.target("h1").runningRequests() > 0).isFalse();
            }
            assertThat(EscrowQueries.allSlotsReturned(mEscrow.allocator(H1).world(), "h1"))
                    .isTrue();
            assertThat(mEscrow.held(H1)).isZero();
            mEscrow.setStage("h1", HostStage.IN_SERVICE);
            assertThat(mEscrow.reaches(H1, EscrowSite.SLOTS, 300)).isTrue();
        }
    }

    private String otherThan(String id) {
        return mSite.entries().values().stream()
                .filter(e -> !e.id().equals(id))
                .filter(e -> e.world().holdings().find(H1).map(h -> h.held() > 0).orElse(false))
                .findFirst()
                .orElseThrow()
                .id();
    }
}
