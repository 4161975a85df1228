package org.hibiscususher.core.scheduler.term;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.scheduler.SchedulerWorlds;
import org.hibiscususher.core.scheduler.message.Ownership;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.CommitConflict;
import org.hibiscususher.core.scheduler.message.SchedulerInput.CommitFailed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.LeaseGranted;
import org.hibiscususher.core.scheduler.message.SchedulerInput.OwnershipUpdated;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TermStage;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** An owner whose lease has expired claims the ownership again and keeps its tables meanwhile. */
class OwnershipReclaimTest {
    private static final long START_MS = 10_000;
    private static final long FENCE = 50;
    private static final long LATER_FENCE = 60;

    private final SchedulerWorld mWorld = SchedulerWorlds.ofOwner(START_MS);
    private long mNowMs = START_MS;
    private long mLastCallId;

    private void tick(SchedulerInput... inputs) {
        mNowMs += 5;
        TermSystem.run(
                new SchedulerTick(mWorld, mNowMs, mNowMs, List.of(inputs), () -> ++mLastCallId));
    }

    private static StoredRecord.Term termOf(String node, long generation) {
        return new StoredRecord.Term(generation, node, 1, false, node, List.of());
    }

    private static OwnershipUpdated reportOfNoOwner() {
        return new OwnershipUpdated(
                new Ownership(Optional.empty(), 0, Optional.of(termOf("n", 2)), FENCE));
    }

    private static OwnershipUpdated reportOfLaterOwner() {
        return new OwnershipUpdated(
                new Ownership(
                        Optional.of(new StoredRecord.Owner("m", 1, "m")),
                        LATER_FENCE,
                        Optional.of(termOf("m", 3)),
                        LATER_FENCE));
    }

    private long callId() {
        return mWorld.term().get().callId();
    }

    /** Lets the lease end and claims again, up to the commit in flight. */
    @BeforeEach
    void claimAgain() {
        tick(reportOfNoOwner());
        assertThat(mWorld.term().get().stage()).isEqualTo(TermStage.LEASING);
        tick(new LeaseGranted(callId(), 8, 1_500));
        assertThat(mWorld.term().get().stage()).isEqualTo(TermStage.CLAIMING);
        assertThat(mWorld.term().get().isScheduling()).isTrue();
    }

    /** Guards against a former owner that goes on because it read of its successor too early. */
    @Nested
    class LaterOwnerReportedBeforeTheClaimIsAnswered {
        @BeforeEach
        void report() {
            tick(reportOfLaterOwner());
        }

        @Test
        void endsTheOwnershipOnConflict() {
            tick(new CommitConflict(callId(), List.of()));
            tick();
            assertThat(mWorld.term().get().isScheduling()).isFalse();
        }

        @Test
        void endsTheOwnershipOnFailure() {
            tick(new CommitFailed(callId(), false, false));
            tick();
            assertThat(mWorld.term().get().isScheduling()).isFalse();
        }
    }

    @Nested
    class LaterOwnerReportedAfterTheClaimIsAnswered {
        @Test
        void endsTheOwnership() {
            tick(new CommitConflict(callId(), List.of()));
            tick(reportOfLaterOwner());
            assertThat(mWorld.term().get().isScheduling()).isFalse();
        }
    }
}
