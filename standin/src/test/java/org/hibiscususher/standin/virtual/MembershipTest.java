package org.hibiscususher.standin.virtual;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.hibiscususher.core.message.MemberState;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.standin.store.StoreFault;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Tests how entries join, fall silent, are found dead and leave, in virtual time.
 *
 * <p>A member is DEAD only on evidence that its process has ended; without it, it stays SILENT,
 * because it may still use its permits.
 */
class MembershipTest {
    private static final long SEED = 11;

    private final MembershipSite mMembership = new MembershipSite(SEED, 5);
    private final VirtualSite mSite = mMembership.site();

    @BeforeEach
    void openSite() {
        assertThat(mMembership.countInState(MemberState.ACTIVE)).isEqualTo(5);
        mMembership.openQueue();
    }

    @Nested
    class ActiveMembers {
        @Test
        void writeNothingWithoutChanges() {
            long writes = mSite.store().writes();
            mSite.run(30_000);
            assertThat(mSite.store().writes()).isEqualTo(writes);
        }

        @Test
        void leaveAfterTheirRequestsEnd() {
            VirtualRequest request = mSite.sendRequest("e2", "lookups", "fitters", 1_500);
            mSite.run(100);
            mSite.shutDown("e2");
            mSite.run(500);
            assertThat(mMembership.state("e2")).contains(MemberState.LEAVING);
            mSite.run(3_000);
            assertThat(request.isAnswered()).isTrue();
            assertThat(mMembership.state("e2")).isEmpty();
            assertThat(mSite.entries().get("e2").processState()).isEqualTo(ProcessState.DEAD);
        }

        @Test
        void areRestartedOneAfterAnother() {
            long writes = mSite.store().writes();
            for (String id : mMembership.entryIds()) {
                mSite.shutDown(id);
                mSite.run(2_000);
                mSite.start(id, "z1");
                mSite.run(1_000);
                assertThat(mMembership.isServing(id)).isTrue();
            }
            assertThat(mMembership.record().members()).hasSize(5);
            assertThat(mMembership.countInState(MemberState.ACTIVE)).isEqualTo(5);
            assertThat(mSite.store().writes() - writes).isBetween(15L, 25L);
        }

        @Test
        void joinWithinSecondsWhenStartedTogether() {
            MembershipSite site = new MembershipSite(SEED, 9);
            site.site().run(5_000);
            assertThat(site.countInState(MemberState.ACTIVE)).isEqualTo(9);
        }
    }

    @Nested
    class SilentMembers {
        @Test
        void areNotDeclaredDeadWithoutEvidence() {
            mSite.pause("e3");
            mMembership.awaitState("e3", MemberState.SILENT, 4_000);
            mSite.run(60_000);
            assertThat(mMembership.state("e3")).contains(MemberState.SILENT);
        }

        @Test
        void becomeActiveWhenTheyRespond() {
            mSite.pause("e3");
            mSite.run(10_000);
            long writes = mSite.store().writes();
            mSite.resume("e3");
            mMembership.awaitState("e3", MemberState.ACTIVE, 1_000);
            mSite.run(5_000);
            assertThat(mMembership.isServing("e3")).isTrue();
            assertThat(mSite.store().writes() - writes).isBetween(1L, 3L);
        }

        @Test
        void changeStateRarelyWhileOneLinkIsCut() {
            long writes = mSite.store().writes();
            mSite.network().setCut("e1", "e2", true);
            mSite.network().setCut("e2", "e1", true);
            mSite.run(120_000);
            assertThat(mSite.store().writes() - writes).isLessThan(30);
        }

        @Test
        void keepTheirStateWhileFewerThanHalfRespond() {
            for (String id : List.of("e1", "e2", "e3")) {
                mSite.pause(id);
            }
            mSite.run(20_000);
            assertThat(mMembership.countInState(MemberState.SILENT)).isZero();
        }
    }

    @Nested
    class DeadMembers {
        @Test
        void areDetectedByRefusedConnections() {
            mSite.kill("e4");
            assertThat(mMembership.awaitState("e4", MemberState.DEAD, 3_000)).isLessThan(1_500);
        }

        @Test
        void areDetectedByNewerIncarnation() {
            mMembership.killUnreachable("e4");
            mMembership.setLinksCut("e4", true, true, false);
            mSite.start("e4", "z1");
            mSite.run(500);
            assertThat(mMembership.isServing("e4")).isTrue();
            assertThat(mMembership.record().members()).hasSize(6);
            assertThat(mMembership.countInState(MemberState.DEAD)).isEqualTo(1);
        }

        @Test
        void areDetectedByTwoHostListsThatLackFormerlyListedHost() {
            mMembership.publishHostList(mMembership.entryIds());
            mMembership.killUnreachable("e4");
            mSite.run(5_000);
            mMembership.publishHostList(List.of("e1", "e2", "e3", "e5"));
            mSite.run(3_000);
            assertThat(mMembership.state("e4")).contains(MemberState.SILENT);
            mMembership.publishHostList(List.of("e1", "e2", "e3", "e5"));
            mMembership.awaitState("e4", MemberState.DEAD, 3_000);
        }

        @Test
        void areNotInferredFromOutdatedHostLists() {
            mMembership.publishHostList(List.of("e1", "e2"));
            mMembership.publishHostList(List.of("e1", "e2"));
            mSite.pause("e5");
            mSite.run(5_000);
            mMembership.publishHostList(List.of("e1", "e2"));
            mSite.run(5_000);
            assertThat(mMembership.countInState(MemberState.DEAD)).isZero();
        }

        @Test
        void areRemovedOnlyAfterTheLongestRun() {
            mSite.kill("e4");
            mMembership.awaitState("e4", MemberState.DEAD, 3_000);
            mSite.run(12_900);
            assertThat(mMembership.state("e4")).contains(MemberState.DEAD);
            mSite.run(3_000);
            assertThat(mMembership.state("e4")).isEmpty();
        }

        @Test
        void stopWithoutServingWhenResumed() {
            mMembership.publishHostList(mMembership.entryIds());
            mSite.pause("e4");
            mSite.run(5_000);
            mMembership.publishHostList(List.of("e1", "e2", "e3", "e5"));
            mMembership.publishHostList(List.of("e1", "e2", "e3", "e5"));
            mMembership.awaitState("e4", MemberState.DEAD, 3_000);
            mSite.resume("e4");
            VirtualRequest request = mSite.sendRequest("e4", "lookups", "fitters", 10);
            mSite.run(1_000);
            assertThat(request.runCount()).isZero();
            assertThat(mSite.entries().get("e4").processState()).isEqualTo(ProcessState.DEAD);
        }
    }

    @Nested
    class StoreOutages {
        @Test
        void causeNoChangeAndFewReads() {
            long epoch = mMembership.record().epoch();
            mSite.store().setFault(StoreFault.DOWN);
            long reads = mSite.store().reads();
            mSite.run(60_000);
            assertThat(mSite.store().reads() - reads).isLessThan(5 * 60 * 2);
            mSite.store().setFault(StoreFault.NONE);
            mSite.run(5_000);
            assertThat(mMembership.record().epoch()).isEqualTo(epoch);
            assertThat(mMembership.entryIds()).allMatch(mMembership::isServing);
        }

        @Test
        void areFollowedByOneWriteForAllDeadMembers() {
            long epoch = mMembership.record().epoch();
            mSite.store().setFault(StoreFault.DOWN);
            mSite.run(20_000);
            mSite.kill("e4");
            mSite.kill("e5");
            mSite.run(40_000);
            mSite.store().setFault(StoreFault.NONE);
            mSite.run(4_000);
            assertThat(mMembership.countInState(MemberState.DEAD)).isEqualTo(2);
            assertThat(mMembership.record().epoch()).isEqualTo(epoch + 1);
        }

        @Test
        void thatLoseResponsesAreResolvedByReading() {
            mSite.store().setFault(StoreFault.LOSES_ANSWERS);
            long epoch = mMembership.record().epoch();
            mSite.kill("e4");
            mSite.run(10_000);
            assertThat(mMembership.state("e4")).contains(MemberState.DEAD);
            assertThat(mMembership.record().epoch()).isEqualTo(epoch + 1);
        }
    }

    @Nested
    class Partitions {
        @Test
        void ofOneMemberMakeOnlyItSilent() {
            mMembership.setLinksCut("e2", true, true, true);
            mMembership.awaitState("e2", MemberState.SILENT, 5_000);
            mSite.run(20_000);
            assertThat(mMembership.countInState(MemberState.SILENT)).isEqualTo(1);
            mMembership.setLinksCut("e2", true, true, false);
            mMembership.awaitState("e2", MemberState.ACTIVE, 2_000);
        }

        @Test
        void ofInboundLinksLeaveTheMemberActive() {
            long writes = mSite.store().writes();
            mMembership.setLinksCut("e2", true, false, true);
            mSite.run(30_000);
            assertThat(mMembership.countInState(MemberState.ACTIVE)).isEqualTo(5);
            assertThat(mSite.store().writes()).isEqualTo(writes);
        }

        @Test
        void fromStoreAndPeersEndInRecovery() {
            mMembership.setLinksCut("e2", true, true, true);
            mSite.store().setReachable("e2", false);
            mSite.run(30_000);
            assertThat(mMembership.state("e2")).contains(MemberState.SILENT);
            mMembership.setLinksCut("e2", true, true, false);
            mSite.store().setReachable("e2", true);
            mSite.run(8_000);
            assertThat(mMembership.countInState(MemberState.ACTIVE)).isEqualTo(5);
            assertThat(mSite.store().find(RecordKey.HEAD)).isPresent();
        }
    }
}
