package org.hibiscususher.core.scheduler.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hibiscususher.core.job.JobConfiguration;
import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobQueue;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobRequestKind;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.JobTeam;
import org.hibiscususher.core.job.OwnerLoad;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.message.Ownership;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ForwardAnswered;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ForwardFailed;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.ConfigurationRow;
import org.hibiscususher.core.scheduler.world.OwnershipRow;
import org.hibiscususher.core.scheduler.world.PendingRequestRow;
import org.hibiscususher.core.scheduler.world.SchedulerSettings;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerTiming;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** An entry that forwards the submissions of teams a and b to an owner. */
class ForwardLimitSystemTest {
    private static final long NOW_MS = 10_000;
    private static final String OWNER = "192.0.2.2:1";
    private static final long WORK_CORE_MS = 2_000;

    private final SchedulerWorld mWorld =
            SchedulerWorld.create(
                    new SchedulerSettings(
                            "n", 1, "192.0.2.1:1", List.of(), 0, SchedulerTiming.DEFAULT));
    private int mLastCall;

    @BeforeEach
    void setUp() {
        JobPolicy policy = new JobPolicy("queue", "pool", 0, 3, 2, 500, false);
        JobConfiguration configuration =
                new JobConfiguration(
                        1,
                        List.of(new JobQueue("h", "/q/", false, policy)),
                        List.of(),
                        List.of(team("a"), team("b")));
        mWorld.configuration().set(new ConfigurationRow(configuration, 1));
        setOwner(1);
        run(NOW_MS);
    }

    private static JobTeam team(String name) {
        return new JobTeam(name, 1, Resources.of(0, 0, 0), Set.of(name));
    }

    private void setOwner(long incarnation) {
        StoredRecord.Owner owner = new StoredRecord.Owner("o", incarnation, OWNER);
        mWorld.ownership()
                .set(
                        new OwnershipRow(
                                true,
                                new Ownership(Optional.of(owner), 1, Optional.empty(), 1),
                                0));
    }

    private SchedulerTick run(long nowMs, SchedulerInput... inputs) {
        SchedulerTick tick = new SchedulerTick(mWorld, nowMs, nowMs, List.of(inputs), () -> 1);
        ForwardLimitSystem.run(tick);
        return tick;
    }

    private PendingRequestRow submission(String team, long coreMs) {
        StepSpec step = StepSpec.of(1, Resources.of(1_000, 1, 0), coreMs, List.of());
        JobRequest request =
                JobRequest.of(
                        JobRequestKind.SUBMIT,
                        "h",
                        String.format("/q/%016x", ++mLastCall),
                        team,
                        Optional.of(JobSpec.once("run", List.of(step))));
        return PendingRequestRow.received(mLastCall, request, NOW_MS, NOW_MS);
    }

    /** Adds a forwarded submission; returns its call id. */
    private long forward(String team) {
        PendingRequestRow row = submission(team, WORK_CORE_MS).asForwarded(team, NOW_MS);
        mWorld.pendingRequests().put(row.callId(), row);
        return row.callId();
    }

    private String refusalOf(PendingRequestRow pending, long nowMs) {
        SchedulerTick tick = new SchedulerTick(mWorld, nowMs, nowMs, List.of(), () -> 1);
        return ForwardAdmission.findRefusal(tick, pending).map(JobResponse::reason).orElse("");
    }

    private static ForwardAnswered answer(long callId, OwnerLoad load) {
        JobResponse refusal = JobResponse.refusal(JobResponseKind.OVERLOADED, 3_000, "backlog");
        return new ForwardAnswered(callId, refusal.withOwnerLoad(Optional.of(load)));
    }

    private int limit() {
        return mWorld.forwardLimit().get().limit();
    }

    @Nested
    class ReachedLimit {
        @BeforeEach
        void reach() {
            for (int i = 0; i < 16; i++) {
                forward("a");
            }
        }

        @Test
        void refusesTheTeamThatReachedItAlone() {
            assertThat(refusalOf(submission("a", 1), NOW_MS)).isEqualTo("entry-busy");
            assertThat(refusalOf(submission("b", 1), NOW_MS)).isEmpty();
        }

        /** Guards against "not run" for what may have run. */
        @Test
        void passesWhatMayHaveReachedAnOwner() {
            PendingRequestRow pending = submission("a", 1);
            assertThat(refusalOf(pending.awaitingOwner(true, NOW_MS), NOW_MS)).isEmpty();
            PendingRequestRow relayed =
                    PendingRequestRow.received(99, pending.request().forwarded(), NOW_MS, NOW_MS);
            assertThat(refusalOf(relayed, NOW_MS)).isEmpty();
            PendingRequestRow repeated =
                    PendingRequestRow.received(
                            100, mWorld.pendingRequests().find(1L).get().request(), NOW_MS, NOW_MS);
            assertThat(refusalOf(repeated, NOW_MS)).isEmpty();
        }

        /** Guards against a new owner that has to wait for the answers of the one before. */
        @Test
        void countsForItsOwnerOnly() {
            setOwner(2);
            run(NOW_MS + 10);
            assertThat(refusalOf(submission("a", 1), NOW_MS + 10)).isEmpty();
        }
    }

    @Nested
    class Outcome {
        @Test
        void ofALoadedOwnerHalvesTheLimitAndIsLogged() {
            SchedulerTick tick = run(NOW_MS + 10, answer(forward("a"), OwnerLoad.ofQueue(151)));
            assertThat(limit()).isEqualTo(8);
            assertThat(tick.outputs().toString()).contains("forward-limit", "limit=8 before=16");
        }

        /** Guards against reductions when a connection breaks. */
        @Test
        void withoutAnswerCountsOnlyOnceTheTimeIsUp() {
            run(NOW_MS + 1_000, new ForwardFailed(forward("a"), OWNER, true));
            assertThat(limit()).isEqualTo(16);
            run(NOW_MS + 1_500, new ForwardFailed(forward("a"), OWNER, true));
            assertThat(limit()).isEqualTo(8);
        }

        /** Guards against a limit that falls although an earlier version tells no load. */
        @Test
        void withoutLoadChangesNothing() {
            JobResponse response = JobResponse.of(JobResponseKind.ACCEPTED);
            run(NOW_MS + 10, new ForwardAnswered(forward("a"), response));
            assertThat(limit()).isEqualTo(16);
        }
    }

    @Nested
    class ExtendedRefusal {
        @BeforeEach
        void extend() {
            OwnerLoad load = OwnerLoad.ofQueue(0).rejecting(10_000, WORK_CORE_MS);
            run(NOW_MS, answer(forward("a"), load));
        }

        @Test
        void coversItsTeamFromItsWorkOn() {
            assertThat(refusalOf(submission("a", WORK_CORE_MS), NOW_MS)).isEqualTo("team-backlog");
            assertThat(refusalOf(submission("a", WORK_CORE_MS - 1), NOW_MS)).isEmpty();
            assertThat(refusalOf(submission("b", WORK_CORE_MS), NOW_MS)).isEmpty();
        }

        /** Guards against 429 for a job whose first submission may be stored already. */
        @Test
        void passesRepeatsOfWhatIsUnderWay() {
            PendingRequestRow first = submission("a", WORK_CORE_MS).asForwarded("a", NOW_MS);
            mWorld.pendingRequests().put(first.callId(), first);
            PendingRequestRow repeat =
                    PendingRequestRow.received(
                            99, submission("a", WORK_CORE_MS).request(), NOW_MS, NOW_MS);
            assertThat(refusalOf(repeat, NOW_MS)).isEqualTo("team-backlog");
            PendingRequestRow same =
                    PendingRequestRow.received(98, callersRequest(first), NOW_MS, NOW_MS);
            assertThat(refusalOf(same, NOW_MS)).isEmpty();
        }

        private JobRequest callersRequest(PendingRequestRow forwarded) {
            JobRequest request = forwarded.request();
            return JobRequest.of(
                    request.kind(),
                    request.hostName(),
                    request.path(),
                    request.apiKey(),
                    request.spec());
        }

        @Test
        void givesTheRestOfTheOwnersTimeToRetry() {
            SchedulerTick tick =
                    new SchedulerTick(mWorld, NOW_MS + 200, NOW_MS, List.of(), () -> 1);
            long afterMs =
                    ForwardAdmission.findRefusal(tick, submission("a", WORK_CORE_MS))
                            .get()
                            .retryAfterMs();
            assertThat(afterMs).isBetween(2_800L, 3_800L);
        }

        /** Guards against refusals that outlast their cause. */
        @Test
        void endsAfterAQuarterOfASecondOrWithTheOwner() {
            assertThat(refusalOf(submission("a", WORK_CORE_MS), NOW_MS + 250)).isEmpty();
            setOwner(2);
            run(NOW_MS + 10);
            assertThat(refusalOf(submission("a", WORK_CORE_MS), NOW_MS + 10)).isEmpty();
        }
    }
}
