package org.hibiscususher.standin.virtual;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.hibiscususher.core.message.MemberState;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.standin.store.StoreFault;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MembershipTest {
    private static final long SEED = 11;

    private final Members mMembers = new Members(SEED, 5);
    private final VirtualSite mSite = mMembers.site();

    @BeforeEach
    void openSite() {
        assertThat(mMembers.count(MemberState.ACTIVE)).isEqualTo(5);
        mMembers.open();
    }

    @Nested
    class LivingMembers {
        @Test
        void writeNothingWhileNothingChanges() {
            long writes = mSite.store().writes();
            mSite.run(30_000);
            assertThat(mSite.store().writes()).isEqualTo(writes);
        }

        @Test
        void leaveOnceTheirWorkIsOver() {
            VirtualRequest request = mSite.sendRequest("e2", "lookups", "fitters", 1_500);
            mSite.run(100);
            mSite.shutDown("e2");
            mSite.run(500);
            assertThat(mMembers.state("e2")).contains(MemberState.LEAVING);
            mSite.run(3_000);
            assertThat(request.isAnswered()).isTrue();
            assertThat(mMembers.state("e2")).isEmpty();
            assertThat(mSite.entries().get("e2").processState()).isEqualTo(ProcessState.DEAD);
        }

        @Test
        void areReplacedOneAfterAnother() {
            long writes = mSite.store().writes();
            for (String id : mMembers.ids()) {
                mSite.shutDown(id);
                mSite.run(2_000);
                mSite.start(id, "z1");
                mSite.run(1_000);
                assertThat(mMembers.serves(id)).isTrue();
            }
            assertThat(mMembers.record().members()).hasSize(5);
            assertThat(mMembers.count(MemberState.ACTIVE)).isEqualTo(5);
            assertThat(mSite.store().writes() - writes).isBetween(15L, 25L);
        }

        @Test
        void joinAtOnceWithFewRaces() {
            Members crowd = new Members(SEED, 9);
            crowd.site().run(5_000);
            assertThat(crowd.count(MemberState.ACTIVE)).isEqualTo(9);
        }
    }

    @Nested
    class SilentMembers {
        @Test
        void areNeverTakenForDead() {
            mSite.pause("e3");
            mMembers.awaitState("e3", MemberState.SILENT, 4_000);
            mSite.run(60_000);
            assertThat(mMembers.state("e3")).contains(MemberState.SILENT);
        }

        @Test
        void comeBackWhenHeard() {
            mSite.pause("e3");
            mSite.run(10_000);
            long writes = mSite.store().writes();
            mSite.resume("e3");
            mMembers.awaitState("e3", MemberState.ACTIVE, 1_000);
            mSite.run(5_000);
            assertThat(mMembers.serves("e3")).isTrue();
            assertThat(mSite.store().writes() - writes).isBetween(1L, 3L);
        }

        @Test
        void flapLessAndLess() {
            long writes = mSite.store().writes();
            mSite.network().setCut("e1", "e2", true);
            mSite.network().setCut("e2", "e1", true);
            mSite.run(120_000);
            assertThat(mSite.store().writes() - writes).isLessThan(30);
        }

        @Test
        void keepTheirStateWhereNobodyHearsHalf() {
            for (String id : List.of("e1", "e2", "e3")) {
                mSite.pause(id);
            }
            mSite.run(20_000);
            assertThat(mMembers.count(MemberState.SILENT)).isZero();
        }
    }

    @Nested
    class Ends {
        @Test
        void areProvenByRefusedConnections() {
            mSite.kill("e4");
            assertThat(mMembers.awaitState("e4", MemberState.DEAD, 3_000)).isLessThan(1_500);
        }

        @Test
        void areProvenByANewerIncarnation() {
            mMembers.vanish("e4");
            mMembers.cut("e4", true, true, false);
            mSite.start("e4", "z1");
            mSite.run(500);
            assertThat(mMembers.serves("e4")).isTrue();
            assertThat(mMembers.record().members()).hasSize(6);
            assertThat(mMembers.count(MemberState.DEAD)).isEqualTo(1);
        }

        @Test
        void areProvenByTwoListsWithoutAHostThatWasListed() {
            mMembers.showHosts(mMembers.ids());
            mMembers.vanish("e4");
            mSite.run(5_000);
            mMembers.showHosts(List.of("e1", "e2", "e3", "e5"));
            mSite.run(3_000);
            assertThat(mMembers.state("e4")).contains(MemberState.SILENT);
            mMembers.showHosts(List.of("e1", "e2", "e3", "e5"));
            mMembers.awaitState("e4", MemberState.DEAD, 3_000);
        }

        @Test
        void areNotProvenByAListThatLags() {
            mMembers.showHosts(List.of("e1", "e2"));
            mMembers.showHosts(List.of("e1", "e2"));
            mSite.pause("e5");
            mSite.run(5_000);
            mMembers.showHosts(List.of("e1", "e2"));
            mSite.run(5_000);
            assertThat(mMembers.count(MemberState.DEAD)).isZero();
        }

        @Test
        void areForgottenOnlyAfterTheLongestRun() {
            mSite.kill("e4");
            mMembers.awaitState("e4", MemberState.DEAD, 3_000);
            mSite.run(12_900);
            assertThat(mMembers.state("e4")).contains(MemberState.DEAD);
            mSite.run(3_000);
            assertThat(mMembers.state("e4")).isEmpty();
        }

        @Test
        void sendAMemberThatWakesUpAfterThemAway() {
            mMembers.showHosts(mMembers.ids());
            mSite.pause("e4");
            mSite.run(5_000);
            mMembers.showHosts(List.of("e1", "e2", "e3", "e5"));
            mMembers.showHosts(List.of("e1", "e2", "e3", "e5"));
            mMembers.awaitState("e4", MemberState.DEAD, 3_000);
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
        void changeNothingAndAreAskedLittle() {
            long epoch = mMembers.record().epoch();
            mSite.store().setFault(StoreFault.DOWN);
            long reads = mSite.store().reads();
            mSite.run(60_000);
            assertThat(mSite.store().reads() - reads).isLessThan(5 * 60 * 2);
            mSite.store().setFault(StoreFault.NONE);
            mSite.run(5_000);
            assertThat(mMembers.record().epoch()).isEqualTo(epoch);
            assertThat(mMembers.ids()).allMatch(mMembers::serves);
        }

        @Test
        void areFollowedByOneWriteForAllDeaths() {
            long epoch = mMembers.record().epoch();
            mSite.store().setFault(StoreFault.DOWN);
            mSite.run(20_000);
            mSite.kill("e4");
            mSite.kill("e5");
            mSite.run(40_000);
            mSite.store().setFault(StoreFault.NONE);
            mSite.run(4_000);
            assertThat(mMembers.count(MemberState.DEAD)).isEqualTo(2);
            assertThat(mMembers.record().epoch()).isEqualTo(epoch + 1);
        }

        @Test
        void thatLoseAnswersAreSettledByReading() {
            mSite.store().setFault(StoreFault.LOSES_ANSWERS);
            long epoch = mMembers.record().epoch();
            mSite.kill("e4");
            mSite.run(10_000);
            assertThat(mMembers.state("e4")).contains(MemberState.DEAD);
            assertThat(mMembers.record().epoch()).isEqualTo(epoch + 1);
        }
    }

    @Nested
    class Partitions {
        @Test
        void ofOneMemberMakeItSilentAndNobodyElse() {
            mMembers.cut("e2", true, true, true);
            mMembers.awaitState("e2", MemberState.SILENT, 5_000);
            mSite.run(20_000);
            assertThat(mMembers.count(MemberState.SILENT)).isEqualTo(1);
            mMembers.cut("e2", true, true, false);
            mMembers.awaitState("e2", MemberState.ACTIVE, 2_000);
        }

        @Test
        void inOneDirectionLeaveTheHeardActive() {
            long writes = mSite.store().writes();
            mMembers.cut("e2", true, false, true);
            mSite.run(30_000);
            assertThat(mMembers.count(MemberState.ACTIVE)).isEqualTo(5);
            assertThat(mSite.store().writes()).isEqualTo(writes);
        }

        @Test
        void ofStoreAndPeersAreOutlived() {
            mMembers.cut("e2", true, true, true);
            mSite.store().setReachable("e2", false);
            mSite.run(30_000);
            assertThat(mMembers.state("e2")).contains(MemberState.SILENT);
            mMembers.cut("e2", true, true, false);
            mSite.store().setReachable("e2", true);
            mSite.run(8_000);
            assertThat(mMembers.count(MemberState.ACTIVE)).isEqualTo(5);
            assertThat(mSite.store().find(RecordKey.HEAD)).isPresent();
        }
    }
}
