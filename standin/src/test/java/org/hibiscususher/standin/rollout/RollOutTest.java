package org.hibiscususher.standin.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.hibiscususher.core.message.NoteResult;
import org.hibiscususher.core.message.Output.ReplyToNote;
import org.hibiscususher.core.message.Refusal;
import org.hibiscususher.core.note.ReleaseNote;
import org.hibiscususher.standin.store.StoreFault;
import org.hibiscususher.standin.virtual.VirtualRequest;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that release notes are committed once and in order, and reach every entry.
 *
 * <p>The first note of {@link RollOutSite} is revision 1; the head record keeps at most 32 notes
 * before they are compacted into a snapshot.
 */
class RollOutTest {
    private final RollOutSite mSite = new RollOutSite(11);

    @Nested
    class ResentNotes {
        @ParameterizedTest
        @ValueSource(ints = {0, 1, 31, 40, 100})
        void keepTheirRevisionAfterOtherNotes(int others) {
            ReleaseNote first = mSite.teamNote("first", "berta");
            mSite.apply("e1", first);
            mSite.applyTeams(others);
            ReplyToNote resent = mSite.apply("e2", first);
            assertThat(resent.result()).isEqualTo(NoteResult.ACCEPTED);
            assertThat(resent.revision()).isEqualTo(2);
            assertThat(mSite.head().revision()).isEqualTo(2 + others);
        }

        @ParameterizedTest
        @ValueSource(ints = {0, 40})
        void conflictIfOnlyTheirIdIsTheSame(int others) {
            mSite.apply("e1", mSite.teamNote("first", "berta"));
            mSite.applyTeams(others);
            ReplyToNote other = mSite.apply("e2", mSite.teamNote("first", "carl"));
            assertThat(other.result()).isEqualTo(NoteResult.CONFLICT);
            assertThat(other.detail()).contains("note first is revision 2 already");
        }

        @Test
        void areCommittedOnceThroughTwoEntriesAtOnce() {
            ReleaseNote note = mSite.teamNote("twice", "berta");
            long firstCall = mSite.site().submitNote("e1", note);
            long secondCall = mSite.site().submitNote("e2", note);
            assertThat(mSite.await(firstCall, 20_000).revision()).isEqualTo(2);
            assertThat(mSite.await(secondCall, 20_000).revision()).isEqualTo(2);
            assertThat(mSite.head().revision()).isEqualTo(2);
        }
    }

    @Nested
    class StoreFaults {
        @ParameterizedTest
        @EnumSource(StoreFault.class)
        void thatEndDoNotPreventTheCommit(StoreFault fault) {
            mSite.site().store().setFault(fault);
            long callId = mSite.site().submitNote("e1", mSite.teamNote("n", "berta"));
            mSite.site().run(4_000);
            mSite.site().store().setFault(StoreFault.NONE);
            ReplyToNote reply = mSite.await(callId, 13_000);
            assertThat(reply.result()).isEqualTo(NoteResult.ACCEPTED);
            assertThat(mSite.head().revision()).isEqualTo(2);
            assertThat(mSite.distinctConfigurations("e1", "e2", "e3")).hasSize(1);
        }

        @ParameterizedTest
        @ValueSource(ints = {1, 3, 5, 6, 7, 9, 12})
        void thatLoseResponsesFromAnyStepStillGetReply(int startMs) {
            long callId = mSite.site().submitNote("e1", mSite.teamNote("n", "berta"));
            mSite.site().run(startMs);
            mSite.site().store().setFault(StoreFault.LOSES_ANSWERS);
            mSite.site().run(3_000);
            mSite.site().store().setFault(StoreFault.NONE);
            assertThat(mSite.await(callId, 13_000).result()).isEqualTo(NoteResult.ACCEPTED);
            assertThat(mSite.head().revision()).isEqualTo(2);
        }

        @Test
        void thatLastAreReportedAndNothingIsCommitted() {
            mSite.site().store().setFault(StoreFault.DOWN);
            ReplyToNote reply = mSite.apply("e1", mSite.teamNote("n", "berta"));
            assertThat(reply.result()).isEqualTo(NoteResult.UNAVAILABLE);
            assertThat(reply.detail()).contains("nothing was changed");
            mSite.site().store().setFault(StoreFault.NONE);
            mSite.site().run(5_000);
            assertThat(mSite.head().revision()).isEqualTo(1);
        }

        @Test
        void thatLoseTheResponseToTheWriteAreReportedAsUnknown() {
            long writes = mSite.site().store().writes();
            long callId = mSite.site().submitNote("e1", mSite.teamNote("n", "berta"));
            while (mSite.site().store().writes() == writes) {
                mSite.site().run(1);
            }
            mSite.site().store().setFault(StoreFault.LOSES_ANSWERS);
            assertThat(mSite.await(callId, 20_000).detail())
                    .contains("did not say whether the note was written");
        }
    }

    @Nested
    class ConcurrentNotes {
        @Test
        void conflictIfTheyHaveTheSameBase() {
            long firstCall =
                    mSite.site().submitNote("e1", mSite.teamNote("one", "berta", "base: 1"));
            long secondCall =
                    mSite.site().submitNote("e2", mSite.teamNote("two", "carl", "base: 1"));
            assertThat(mSite.await(firstCall, 20_000).result()).isEqualTo(NoteResult.ACCEPTED);
            ReplyToNote rejected = mSite.await(secondCall, 20_000);
            assertThat(rejected.result()).isEqualTo(NoteResult.CONFLICT);
            assertThat(rejected.detail())
                    .isEqualTo(
                            "the note builds on revision 1, but revision 2 by berta came first"
                                    + " (note one: one more team); nothing was changed");
            assertThat(mSite.head().revision()).isEqualTo(2);
        }

        @Test
        void areAllCommittedIfTheyHaveNoBase() {
            long firstCall = mSite.site().submitNote("e1", mSite.teamNote("one", "berta"));
            long secondCall = mSite.site().submitNote("e2", mSite.teamNote("two", "carl"));
            long thirdCall = mSite.site().submitNote("e2", mSite.teamNote("three", "carl"));
            assertThat(mSite.await(firstCall, 20_000).result()).isEqualTo(NoteResult.ACCEPTED);
            assertThat(mSite.await(secondCall, 20_000).result()).isEqualTo(NoteResult.ACCEPTED);
            assertThat(mSite.await(thirdCall, 20_000).result()).isEqualTo(NoteResult.ACCEPTED);
            assertThat(mSite.head().revision()).isEqualTo(4);
        }

        @Test
        void areFaultyIfAnotherInvalidatedThem() {
            String text =
                    """
                    note: %s
                    author: %s
                    added: {teams: [{name: same, share: %d, upper limit: 1}]}
                    """;
            long firstCall =
                    mSite.site().submitNote("e1", RollOutSite.note(text.formatted("a", "b", 1)));
            long secondCall =
                    mSite.site().submitNote("e2", RollOutSite.note(text.formatted("c", "d", 2)));
            assertThat(mSite.await(firstCall, 20_000).result()).isEqualTo(NoteResult.ACCEPTED);
            assertThat(mSite.await(secondCall, 20_000).result()).isEqualTo(NoteResult.FAULTY);
            assertThat(mSite.inForce("e3").teams().get("same").share()).isEqualTo(1);
        }
    }

    @Nested
    class AcceptedReplies {
        @Test
        void arriveWithinTwoSecondsWithoutFaults() {
            long startMs = mSite.site().nowMs();
            assertThat(mSite.apply("e1", mSite.teamNote("n", "berta")).result())
                    .isEqualTo(NoteResult.ACCEPTED);
            assertThat(mSite.site().nowMs() - startMs).isLessThan(2_000);
            assertThat(mSite.distinctConfigurations("e1", "e2", "e3")).hasSize(1);
        }

        @Test
        void arriveWithinTenSecondsOfMembersDeath() {
            mSite.site().kill("e3");
            long startMs = mSite.site().nowMs();
            ReplyToNote reply = mSite.apply("e1", mSite.teamNote("n", "berta"));
            assertThat(reply.result()).isEqualTo(NoteResult.ACCEPTED);
            assertThat(mSite.site().nowMs() - startMs).isLessThan(10_000);
        }

        @ParameterizedTest
        @ValueSource(booleans = {true, false})
        void waitUntilLaggingMemberServesNoLonger(boolean silent) {
            cutOff("e3", silent);
            long callId = mSite.site().submitNote("e1", mSite.teamNote("n", "berta"));
            while (!mSite.site().noteReplies().containsKey(callId)) {
                mSite.site().run(1);
            }
            ReplyToNote reply = mSite.site().noteReplies().get(callId);
            assertThat(reply.result()).isEqualTo(NoteResult.ACCEPTED);
            assertThat(reply.detail()).contains("e3 (revision 1, last heard ");
            VirtualRequest request = mSite.site().sendRequest("e3", "lookups", "fitters", 10);
            mSite.site().run(100);
            assertThat(request.refusal()).contains(Refusal.CONFIGURATION_STALE);
        }

        @Test
        void areNotSentWhileTheMembershipIsUnreadable() {
            long writes = mSite.site().store().writes();
            long callId = mSite.site().submitNote("e1", mSite.teamNote("n", "berta"));
            while (mSite.site().store().writes() == writes) {
                mSite.site().run(1);
            }
            mSite.site().run(4);
            mSite.site().store().setFault(StoreFault.DOWN);
            assertThat(mSite.await(callId, 20_000).result()).isEqualTo(NoteResult.WRITTEN);
        }

        @Test
        void arriveAlthoughMemberReadsTheNoteFromPeersOnly() {
            mSite.site().store().setReachable("e3", false);
            assertThat(mSite.apply("e1", mSite.teamNote("n", "berta")).result())
                    .isEqualTo(NoteResult.ACCEPTED);
            assertThat(mSite.inForce("e3").revision()).isEqualTo(2);
        }

        /**
         * Stops an entry from receiving anything from the store and its peers.
         *
         * @param silent whether its own messages are lost too
         */
        private void cutOff(String entry, boolean silent) {
            mSite.site().store().setReachable(entry, false);
            for (String other : mSite.site().entries().keySet()) {
                mSite.site().network().setCut(other, entry, true);
                mSite.site().network().setCut(entry, other, silent);
            }
        }
    }

    @Nested
    class WaitingRequests {
        @Test
        void areRefusedWhenTheirKeyIsWithdrawn() {
            assertWaitingRequestRefused("keys: [fitters-key]", Refusal.KEY_UNKNOWN);
        }

        @Test
        void areRefusedWhenTheirQueueIsWithdrawn() {
            assertWaitingRequestRefused("queues: [lookups]", Refusal.QUEUE_UNKNOWN);
        }

        private void assertWaitingRequestRefused(String withdrawn, Refusal refusal) {
            for (int i = 0; i < 4; i++) {
                mSite.site().sendRequest("e2", "lookups", "fitters", 5_000);
            }
            mSite.site().run(100);
            VirtualRequest waiting = mSite.site().sendRequest("e2", "lookups", "fitters", 10);
            mSite.site().run(100);
            assertThat(waiting.isFinished()).isFalse();
            mSite.apply(
                    "e1",
                    RollOutSite.note("note: w\nauthor: a\nwithdrawn: {%s}\n".formatted(withdrawn)));
            assertThat(waiting.refusal()).contains(refusal);
            assertThat(waiting.runCount()).isZero();
        }
    }

    @Nested
    class CommitHistory {
        @ParameterizedTest
        @ValueSource(ints = {10, 40, 75})
        void givesNewEntryTheConfiguration(int teamNotes) {
            mSite.applyTeams(teamNotes);
            mSite.site().start("e4", "z1");
            mSite.site().run(1_000);
            assertThat(mSite.inForce("e4").revision()).isEqualTo(teamNotes + 1);
            assertThat(mSite.distinctConfigurations("e1", "e4")).hasSize(1);
            assertThat(mSite.head().notes().size()).isLessThanOrEqualTo(32);
        }

        @Test
        void givesNewEntryTheConfigurationFromTheStoreAlone() {
            mSite.applyTeams(75);
            for (String other : List.of("e1", "e2", "e3")) {
                mSite.site().network().setCut(other, "e4", true);
            }
            mSite.site().start("e4", "z1");
            mSite.site().run(1_000);
            assertThat(mSite.inForce("e4").revision()).isEqualTo(76);
            assertThat(mSite.distinctConfigurations("e1", "e4")).hasSize(1);
        }

        @ParameterizedTest
        @ValueSource(ints = {1, 3, 5, 6, 7, 8, 9, 10, 11, 12, 14, 16, 20})
        void survivesTheWritersDeathDuringCompaction(int killMs) {
            mSite.applyTeams(31);
            ReleaseNote note = mSite.teamNote("compacts", "berta");
            mSite.site().submitNote("e1", note);
            mSite.site().run(killMs);
            mSite.site().kill("e1");
            ReplyToNote reply = mSite.apply("e2", note);
            assertThat(reply.result()).isEqualTo(NoteResult.ACCEPTED);
            assertThat(reply.revision()).isEqualTo(33);
            assertThat(mSite.head().snapshotRevision()).isEqualTo(33);
            assertThat(mSite.distinctConfigurations("e2", "e3")).hasSize(1);
            assertThat(mSite.apply("e3", RollOutSite.note(oldestTeamNote())).revision())
                    .isEqualTo(2);
        }

        private String oldestTeamNote() {
            return """
            note: team-note-0
            author: anna
            added: {teams: [{name: team-1, share: 1, upper limit: 1}]}
            """;
        }

        @Test
        void keepsALargeNoteOutOfTheHead() {
            StringBuilder hosts = new StringBuilder();
            for (int i = 0; i < 3_800; i++) {
                hosts.append(
                        "    - {name: big-%d, address: \"10.0.%d.%d:1\", zone: z1, pool: parts}%n"
                                .formatted(i, i / 250, i % 250));
            }
            ReplyToNote reply =
                    mSite.apply(
                            "e1",
                            RollOutSite.note("note: big\nauthor: a\nadded:\n  hosts:\n" + hosts));
            assertThat(reply.result()).isEqualTo(NoteResult.ACCEPTED);
            assertThat(mSite.inForce("e3").hosts()).hasSize(3_802);
            assertThat(mSite.head().notes()).hasSize(1);
            assertThat(mSite.head().notes().get(0).hasDelta()).isFalse();
            mSite.applyTeams(2);
            assertThat(mSite.distinctConfigurations("e1", "e2", "e3")).hasSize(1);
        }
    }
}
