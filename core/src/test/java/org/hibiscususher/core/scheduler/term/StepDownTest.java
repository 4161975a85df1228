package org.hibiscususher.core.scheduler.term;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hibiscususher.core.job.JobAddress;
import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobRequestKind;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.scheduler.SchedulerWorlds;
import org.hibiscususher.core.scheduler.job.JobRequestSystem;
import org.hibiscususher.core.scheduler.message.Ownership;
import org.hibiscususher.core.scheduler.message.RecordWrite;
import org.hibiscususher.core.scheduler.message.SchedulerOutput;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Forward;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Respond;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.CommitPurpose;
import org.hibiscususher.core.scheduler.world.CommitRow;
import org.hibiscususher.core.scheduler.world.NodeStateRow;
import org.hibiscususher.core.scheduler.world.OwnershipRow;
import org.hibiscususher.core.scheduler.world.PendingRequestRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** An owner steps down while a caller waits until the store holds job 1. */
class StepDownTest {
    private static final long NOW_MS = 10_000;
    private static final String JOB = "1";
    private static final String NEXT = "192.0.2.3:1";
    private static final JobRequest REQUEST =
            JobRequest.of(JobRequestKind.CANCEL, "h", "/q/1", "", Optional.empty());

    private final SchedulerWorld mWorld = SchedulerWorlds.ofOwner(NOW_MS);

    @BeforeEach
    void setUp() {
        mWorld.nodeState().set(NodeStateRow.INITIAL.withReady(true));
        mWorld.pendingRequests()
                .put(
                        1L,
                        PendingRequestRow.received(1, REQUEST, NOW_MS, NOW_MS)
                                .awaitingStore(JOB, NOW_MS));
    }

    private void setOwner(Optional<StoredRecord.Owner> owner) {
        mWorld.ownership()
                .set(new OwnershipRow(true, new Ownership(owner, 1, Optional.empty(), 99), 0));
    }

    /** Steps down, then routes what waits for an owner; returns the messages to others. */
    private List<SchedulerOutput> stepDown() {
        SchedulerTick tick = tickAt(NOW_MS + 100);
        StepDown.run(tick, "test");
        return route(tick);
    }

    private SchedulerTick tickAt(long nowMs) {
        return new SchedulerTick(mWorld, nowMs, nowMs, List.of(), () -> 1);
    }

    private static List<SchedulerOutput> route(SchedulerTick tick) {
        JobRequestSystem.run(tick);
        return tick.outputs().stream()
                .filter(o -> o instanceof Forward || o instanceof Respond)
                .toList();
    }

    private static JobResponseKind kind(List<SchedulerOutput> outputs) {
        assertThat(outputs).hasSize(1).first().isInstanceOf(Respond.class);
        return ((Respond) outputs.get(0)).response().kind();
    }

    /** Sets a commit in flight that writes the job's record. */
    private void sendCommit() {
        StoredRecord.Job job =
                new StoredRecord.Job(
                        JOB,
                        new JobPolicy("q", "p", 0, 2, 1, 500, false),
                        JobAddress.UNKNOWN,
                        "team",
                        JobSpec.once("", List.of()),
                        NOW_MS);
        mWorld.commits()
                .put(
                        5L,
                        new CommitRow(
                                5,
                                CommitPurpose.RECORDS,
                                5,
                                List.of(),
                                List.of(RecordWrite.of(job)),
                                List.of(),
                                Map.of(),
                                NOW_MS,
                                0,
                                false,
                                1));
    }

    @Nested
    class RequestThatWaitsForTheStore {
        @Test
        void isRoutedToTheLaterOwner() {
            setOwner(Optional.of(new StoredRecord.Owner("c", 1, NEXT)));
            assertThat(stepDown()).containsExactly(new Forward(1, NEXT, REQUEST.forwarded()));
        }

        @Test
        void isRejectedIfItWasNotStoredAndThereIsNoOwner() {
            setOwner(Optional.empty());
            assertThat(stepDown()).isEmpty();
            assertThat(kind(route(tickAt(NOW_MS + 300)))).isEqualTo(JobResponseKind.UNAVAILABLE);
            assertThat(route(tickAt(NOW_MS + 320))).isEmpty();
        }

        @Test
        void isOfUnknownOutcomeIfACommitWithItIsInFlightAndThereIsNoOwner() {
            sendCommit();
            setOwner(Optional.empty());
            assertThat(stepDown()).isEmpty();
            assertThat(kind(route(tickAt(NOW_MS + 700)))).isEqualTo(JobResponseKind.UNKNOWN);
            assertThat(route(tickAt(NOW_MS + 720))).isEmpty();
        }
    }
}
