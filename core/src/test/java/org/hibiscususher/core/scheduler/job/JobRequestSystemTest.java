package org.hibiscususher.core.scheduler.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobRequestKind;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.scheduler.message.Ownership;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ForwardAnswered;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ForwardFailed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.RequestReceived;
import org.hibiscususher.core.scheduler.message.SchedulerOutput;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Forward;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Respond;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.NodeStateRow;
import org.hibiscususher.core.scheduler.world.OwnershipRow;
import org.hibiscususher.core.scheduler.world.SchedulerSettings;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerTiming;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Requests to an entry that is not the owner; entry b is the owner, then entry c. */
class JobRequestSystemTest {
    private static final long NOW_MS = 10_000;
    private static final String B = "192.0.2.2:1";
    private static final String C = "192.0.2.3:1";
    private static final JobRequest REQUEST =
            JobRequest.of(
                    JobRequestKind.SUBMIT,
                    "h",
                    "/q/1",
                    "",
                    Optional.of(JobSpec.once("", List.of())));

    private final SchedulerWorld mWorld =
            SchedulerWorld.create(
                    new SchedulerSettings(
                            "a", 1, "192.0.2.1:1", List.of(), 0, SchedulerTiming.DEFAULT));

    @BeforeEach
    void setUp() {
        mWorld.nodeState().set(NodeStateRow.INITIAL.withReady(true));
        setOwner("b", B);
        assertThat(run(NOW_MS, new RequestReceived(1, REQUEST, NOW_MS)))
                .containsExactly(new Forward(1, B, REQUEST.forwarded()));
    }

    private void setOwner(String node, String address) {
        setOwner(Optional.of(new StoredRecord.Owner(node, 1, address)));
    }

    private void setOwner(Optional<StoredRecord.Owner> owner) {
        mWorld.ownership()
                .set(new OwnershipRow(true, new Ownership(owner, 1, Optional.empty(), 1), 0));
    }

    /** Runs one tick; returns its outputs but for lines of the log and counters. */
    private List<SchedulerOutput> run(long nowMs, SchedulerInput... inputs) {
        SchedulerTick tick = new SchedulerTick(mWorld, nowMs, nowMs, List.of(inputs), () -> 1);
        JobRequestSystem.run(tick);
        return tick.outputs().stream()
                .filter(o -> o instanceof Forward || o instanceof Respond)
                .toList();
    }

    private static JobResponseKind kind(List<SchedulerOutput> outputs) {
        assertThat(outputs).hasSize(1).first().isInstanceOf(Respond.class);
        JobResponse response = ((Respond) outputs.get(0)).response();
        return response.kind();
    }

    @Nested
    class ConnectionToTheOwnerEnds {
        private final ForwardFailed mFailed = new ForwardFailed(1, B, true);

        @Test
        void routesTheRequestToTheNextOwner() {
            setOwner("c", C);
            assertThat(run(NOW_MS + 50, mFailed))
                    .containsExactly(new Forward(1, C, REQUEST.forwarded().forwarded()));
        }

        @Test
        void routesTheRequestOnceThereIsANextOwner() {
            setOwner(Optional.empty());
            assertThat(run(NOW_MS + 50, mFailed)).isEmpty();
            setOwner("c", C);
            assertThat(run(NOW_MS + 150))
                    .containsExactly(new Forward(1, C, REQUEST.forwarded().forwarded()));
        }

        @Test
        void answersThatTheOutcomeIsUnknownIfThereIsNoOwner() {
            setOwner(Optional.empty());
            assertThat(run(NOW_MS + 50, mFailed)).isEmpty();
            assertThat(kind(run(NOW_MS + 3_000))).isEqualTo(JobResponseKind.UNKNOWN);
            assertThat(run(NOW_MS + 3_100)).isEmpty();
        }

        @Test
        void answersThatTheOutcomeIsUnknownIfTheTimeIsUp() {
            assertThat(kind(run(NOW_MS + 2_800, mFailed))).isEqualTo(JobResponseKind.UNKNOWN);
        }

        @Test
        void givesUpAfterThreeAttempts() {
            run(NOW_MS + 10, mFailed);
            run(NOW_MS + 20, mFailed);
            assertThat(kind(run(NOW_MS + 30, mFailed))).isEqualTo(JobResponseKind.UNKNOWN);
        }

        @Test
        void neverClaimsThatTheRequestWasNotReceived() {
            run(NOW_MS + 10, mFailed);
            assertThat(kind(run(NOW_MS + 20, new ForwardFailed(1, B, false))))
                    .isEqualTo(JobResponseKind.UNKNOWN);
        }
    }

    @Nested
    class OwnerIsDown {
        private final ForwardFailed mFailed = new ForwardFailed(1, B, false);

        @Test
        void rejectsTheRequestAtOnce() {
            assertThat(kind(run(NOW_MS + 10, mFailed))).isEqualTo(JobResponseKind.UNAVAILABLE);
        }

        @Test
        void keepsTheRequestForAMomentIfThereIsNoOwner() {
            setOwner(Optional.empty());
            assertThat(run(NOW_MS + 10, mFailed)).isEmpty();
            assertThat(kind(run(NOW_MS + 200))).isEqualTo(JobResponseKind.UNAVAILABLE);
        }

        @Test
        void routesTheRequestToTheNextOwnerIfThereIsOne() {
            setOwner("c", C);
            assertThat(run(NOW_MS + 10, mFailed))
                    .containsExactly(new Forward(1, C, REQUEST.forwarded().forwarded()));
        }
    }

    @Nested
    class OtherEntryAnswers {
        private static JobResponse refusal() {
            return JobResponse.refusal(JobResponseKind.UNAVAILABLE, 1_000, "no-owner");
        }

        @Test
        void passesTheAnswerOnOnce() {
            JobResponse response = JobResponse.of(JobResponseKind.ACCEPTED);
            ForwardAnswered answered = new ForwardAnswered(1, response);
            assertThat(run(NOW_MS + 10, answered)).containsExactly(new Respond(1, response));
            assertThat(run(NOW_MS + 20, answered)).isEmpty();
            assertThat(mWorld.pendingRequests().rows()).isEmpty();
        }

        @Test
        void passesARejectionOn() {
            assertThat(run(NOW_MS + 10, new ForwardAnswered(1, refusal())))
                    .containsExactly(new Respond(1, refusal()));
        }

        @Test
        void doesNotDenyAnEffectThatAnEarlierAttemptMayHaveHad() {
            run(NOW_MS + 10, new ForwardFailed(1, B, true));
            assertThat(kind(run(NOW_MS + 20, new ForwardAnswered(1, refusal()))))
                    .isEqualTo(JobResponseKind.UNKNOWN);
        }
    }

    @Nested
    class OtherEntryIsSilent {
        @Test
        void answersThatTheOutcomeIsUnknownBeforeTheCallerGivesUp() {
            assertThat(run(NOW_MS + 2_600)).isEmpty();
            assertThat(kind(run(NOW_MS + 2_800))).isEqualTo(JobResponseKind.UNKNOWN);
        }

        @Test
        void ignoresTheOutcomeAfterTheAnswer() {
            run(NOW_MS + 2_800);
            assertThat(run(NOW_MS + 2_900, new ForwardFailed(1, B, true))).isEmpty();
        }
    }
}
