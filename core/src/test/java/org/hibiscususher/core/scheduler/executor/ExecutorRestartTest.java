package org.hibiscususher.core.scheduler.executor;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.hibiscususher.core.job.FinishedRun;
import org.hibiscususher.core.job.ReportedRun;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.TaskKey;
import org.hibiscususher.core.scheduler.SchedulerWorlds;
import org.hibiscususher.core.scheduler.message.ExecutorReport;
import org.hibiscususher.core.scheduler.message.HeartbeatFailure;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ExecutorRemoved;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ExecutorUpdated;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HeartbeatAnswered;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HeartbeatFailed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.StartCallCompleted;
import org.hibiscususher.core.scheduler.message.SchedulerInput.StopCallCompleted;
import org.hibiscususher.core.scheduler.message.SchedulerOutput;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.SendHeartbeat;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.StopRun;
import org.hibiscususher.core.scheduler.message.StartResult;
import org.hibiscususher.core.scheduler.message.StopResult;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunStage;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StopReason;
import org.hibiscususher.core.scheduler.world.TaskRow;
import org.hibiscususher.core.scheduler.world.TaskState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * An executor that restarts under its id. The tests guard against readings that are older than the
 * answers of the new incarnation: its runs must not be taken for those of the earlier one.
 */
class ExecutorRestartTest {
    private static final long START_MS = 10_000;
    private static final String EXECUTOR = "x";
    private static final StepKey STEP = new StepKey("j", 0, 0);

    /** Answered long before the restart. */
    private static final TaskKey OLD = STEP.task(0);

    /** Answered by the new incarnation. */
    private static final TaskKey NEW = STEP.task(1);

    private static final TaskKey THIRD = STEP.task(2);

    private final SchedulerWorld mWorld = SchedulerWorlds.ofOwner(START_MS);
    private long mCallId = 100;
    private long mNowMs = START_MS;

    @BeforeEach
    void setUp() {
        SchedulerWorlds.addExecutor(mWorld, EXECUTOR, "p", Resources.of(9_000, 9, 0), START_MS);
        addRun(OLD, 1);
    }

    private void addRun(TaskKey task, long callId) {
        addSentRun(task, callId);
        tick(10, new StartCallCompleted(callId, task, 1, StartResult.STARTED));
    }

    /** Adds a run whose start order gets no answer. */
    private void addUnansweredRun(TaskKey task, long callId) {
        addSentRun(task, callId);
        tick(450, new StartCallCompleted(callId, task, 1, StartResult.NO_ANSWER));
    }

    private void addSentRun(TaskKey task, long callId) {
        Resources core = Resources.of(1, 1, 0);
        mWorld.tasks()
                .put(
                        task,
                        new TaskRow(
                                task,
                                "p",
                                TaskState.ACTIVE,
                                1,
                                Set.of(),
                                "",
                                mNowMs,
                                0,
                                "",
                                false));
        mWorld.runs()
                .put(
                        task,
                        new RunRow(
                                task,
                                1,
                                EXECUTOR,
                                "team",
                                core,
                                core,
                                RunStage.SENT,
                                StopReason.NONE,
                                callId,
                                mNowMs,
                                0,
                                "",
                                0,
                                -1,
                                100,
                                mNowMs));
    }

    private List<SchedulerOutput> tick(long afterMs, SchedulerInput... inputs) {
        mNowMs += afterMs;
        SchedulerTick tick =
                new SchedulerTick(mWorld, mNowMs, mNowMs, List.of(inputs), () -> ++mCallId);
        ExecutorSystem.run(tick);
        RunOrderSystem.run(tick);
        HeartbeatSystem.run(tick);
        return tick.outputs();
    }

    private static SendHeartbeat heartbeat(List<SchedulerOutput> outputs) {
        return outputs.stream()
                .filter(SendHeartbeat.class::isInstance)
                .map(SendHeartbeat.class::cast)
                .findFirst()
                .orElseThrow();
    }

    /** Returns the heartbeat in flight, as far as an answer needs it. */
    private long callInFlight() {
        return mWorld.executorSessions().find(EXECUTOR).orElseThrow().heartbeatCallId();
    }

    private static ExecutorUpdated report(long startedAtMs) {
        return new ExecutorUpdated(
                new ExecutorReport(
                        EXECUTOR,
                        "p",
                        "x:1",
                        "z",
                        "h",
                        List.of(),
                        Resources.of(9_000, 9, 0),
                        false,
                        0,
                        startedAtMs));
    }

    private static HeartbeatAnswered answer(
            long callId, long startedAtMs, List<FinishedRun> finished, TaskKey... running) {
        List<ReportedRun> runs =
                Arrays.stream(running).map(t -> new ReportedRun(t, 1, "", 10, -1)).toList();
        return new HeartbeatAnswered(callId, EXECUTOR, startedAtMs, 1, runs, finished, true);
    }

    private HeartbeatAnswered answerOfNewIncarnation(TaskKey... running) {
        return answer(callInFlight(), 2, List.of(), running);
    }

    private boolean hasRun(TaskKey task) {
        return mWorld.runs().contains(task);
    }

    @Nested
    class ReportThatIsReadLate {
        @BeforeEach
        void startRunAndReadReport() {
            addRun(NEW, 2);
        }

        @Test
        void leavesTheRunsToTheNextHeartbeat() {
            SendHeartbeat check = heartbeat(tick(300, report(2)));
            assertThat(hasRun(NEW)).isTrue();
            assertThat(check.waitMs()).isZero();
            tick(5, answerOfNewIncarnation(NEW));
            assertThat(hasRun(NEW)).isTrue();
            assertThat(hasRun(OLD)).isFalse();
            assertThat(mWorld.tasks().find(OLD).orElseThrow().state()).isEqualTo(TaskState.WAITING);
        }

        @Test
        void isCheckedOnce() {
            tick(300, report(2));
            long check = callInFlight();
            tick(1, report(2));
            assertThat(callInFlight()).isEqualTo(check);
        }

        @Test
        void changesNothingIfTheIncarnationHasAnsweredAlready() {
            tick(5, answerOfNewIncarnation(NEW));
            long next = callInFlight();
            tick(300, report(2));
            assertThat(callInFlight()).isEqualTo(next);
            assertThat(hasRun(NEW)).isTrue();
        }
    }

    @Nested
    class HeartbeatThatWasSentBeforeAnOrderWasAnswered {
        @Test
        void saysNothingOfThatRun() {
            addRun(NEW, 2);
            tick(5, answer(callInFlight(), 2, List.of()));
            assertThat(hasRun(OLD)).isTrue();
            assertThat(hasRun(NEW)).isTrue();
            tick(5, answerOfNewIncarnation(NEW));
            assertThat(hasRun(NEW)).isTrue();
            assertThat(hasRun(OLD)).isFalse();
        }

        @Test
        void saysNothingOfThatRunIfAnotherExecutorAnswersIt() {
            long earlier = callInFlight();
            addRun(NEW, 2);
            tick(5, new HeartbeatFailed(earlier, EXECUTOR, HeartbeatFailure.OTHER_LIFE));
            assertThat(hasRun(NEW)).isTrue();
        }
    }

    @Nested
    class Acknowledgment {
        @Test
        void isNotSentToAnIncarnationThatHasNotAnswered() {
            mWorld.executorSessions()
                    .update(EXECUTOR, s -> s.withAppliedSequence(57).withAcknowledgedSequence(57));
            assertThat(heartbeat(tick(300, report(2))).acknowledgedSequence()).isZero();
        }

        @Test
        void isNotSentToASilentExecutor() {
            mWorld.executorSessions()
                    .update(EXECUTOR, s -> s.withAppliedSequence(57).withAcknowledgedSequence(57));
            tick(300, new HeartbeatFailed(callInFlight(), EXECUTOR, HeartbeatFailure.NO_ANSWER));
            assertThat(heartbeat(tick(150)).acknowledgedSequence()).isZero();
        }
    }

    @Nested
    class Lease {
        /** Longest lease that an executor grants, on a clock that is 3% slow, and a margin. */
        private static final long MAX_LEASE_MS = 6_300;

        /** The deadline of an order may be far ahead of the clock of the new incarnation. */
        @Test
        void mayBeTheLongestOneAfterARestart() {
            addRun(NEW, 2);
            tick(300, report(2));
            long restartMs = mNowMs;
            while (mNowMs < restartMs + MAX_LEASE_MS - 300) {
                tick(
                        200,
                        new HeartbeatFailed(callInFlight(), EXECUTOR, HeartbeatFailure.NO_ANSWER));
                assertThat(hasRun(NEW)).isTrue();
            }
            tick(500, new HeartbeatFailed(callInFlight(), EXECUTOR, HeartbeatFailure.NO_ANSWER));
            assertThat(hasRun(NEW)).isFalse();
        }
    }

    @Nested
    class StopOfAnUncertainStart {
        /** The earlier incarnation's answer to a stop order does not bind the new one. */
        @Test
        void isRepeatedAfterAnAnswerFromBefore() {
            mWorld.runs().update(OLD, r -> r.asStopping(StopReason.NONE, 7, mNowMs));
            RunLifecycle.handleUnansweredStart(
                    new SchedulerTick(mWorld, mNowMs, mNowMs, List.of(), () -> ++mCallId),
                    mWorld.runs().find(OLD).orElseThrow());
            long earlierStop = mCallId;
            List<SchedulerOutput> outputs =
                    tick(
                            100,
                            answerOfNewIncarnation(),
                            new StopCallCompleted(earlierStop, OLD, 1, StopResult.STOPPED));
            assertThat(outputs.stream().filter(StopRun.class::isInstance)).isNotEmpty();
            assertThat(tick(50).stream().filter(StopRun.class::isInstance)).isNotEmpty();
        }
    }

    /**
     * Guards against tasks that start elsewhere while an incarnation that nobody has seen may run
     * them: its clock began anew, so a start holds there for the longest lease.
     */
    @Nested
    class RestartThatIsNotSeen {
        private static final long CLOCK_MS = 50_000;

        private HeartbeatAnswered answerAt(long clockMs) {
            List<ReportedRun> runs = List.of(new ReportedRun(OLD, 1, "", 10, -1));
            return new HeartbeatAnswered(
                    callInFlight(), EXECUTOR, 1, clockMs, runs, List.of(), true);
        }

        private HeartbeatFailed silence() {
            return new HeartbeatFailed(callInFlight(), EXECUTOR, HeartbeatFailure.NO_ANSWER);
        }

        /** Leaves heartbeats unanswered until a time; returns when the run was given up. */
        private long giveUpTimeOf(TaskKey task, long untilMs) {
            while (mNowMs < untilMs) {
                tick(100, silence());
                if (!hasRun(task)) {
                    return mNowMs;
                }
            }
            return Long.MAX_VALUE;
        }

        @Test
        void keepsAnUnansweredStartForTheLongestLease() {
            addUnansweredRun(NEW, 2);
            long unansweredMs = mNowMs;
            long gaveUpMs = giveUpTimeOf(NEW, unansweredMs + 10_000);
            assertThat(gaveUpMs - unansweredMs).isBetween(6_180L, 6_500L);
        }

        @Test
        void givesUpAnAnsweredStartAtTheEndOfItsLease() {
            addUnansweredRun(NEW, 2);
            long silentMs = mNowMs;
            assertThat(giveUpTimeOf(OLD, silentMs + 10_000) - silentMs).isLessThan(4_500);
        }

        @Test
        void keepsAnUnansweredStartThoughTheRegistrationIsMissing() {
            addUnansweredRun(NEW, 2);
            long unansweredMs = mNowMs;
            tick(1, new ExecutorRemoved(EXECUTOR));
            long gaveUpMs = giveUpTimeOf(NEW, unansweredMs + 10_000);
            assertThat(gaveUpMs - unansweredMs).isBetween(6_180L, 6_500L);
        }

        @Test
        void isCheckedIfTheAnswerToAStartTellsAnEarlierClock() {
            tick(5, answerAt(CLOCK_MS));
            addSentRun(NEW, 2);
            List<SchedulerOutput> outputs =
                    tick(300, new StartCallCompleted(2, NEW, 1, StartResult.STARTED, 150));
            assertThat(heartbeat(outputs).waitMs()).isZero();
            long startedMs = mNowMs;
            assertThat(giveUpTimeOf(NEW, startedMs + 10_000) - startedMs).isGreaterThan(6_180);
        }

        /** Each start extends the lease of all runs on the executor. */
        @Test
        void keepsAnUnansweredStartForTheLeaseOfALaterOne() {
            addSentRun(NEW, 2);
            tick(440);
            addSentRun(THIRD, 3);
            tick(10, new StartCallCompleted(2, NEW, 1, StartResult.NO_ANSWER));
            tick(440, new StartCallCompleted(3, THIRD, 1, StartResult.NO_ANSWER));
            long lastArrivalMs = mNowMs;
            long gaveUpMs = giveUpTimeOf(NEW, lastArrivalMs + 10_000);
            assertThat(gaveUpMs - lastArrivalMs).isBetween(6_180L, 6_500L);
        }

        @Test
        void isCheckedIfARefusalOfAStartTellsAnEarlierClock() {
            tick(5, answerAt(CLOCK_MS));
            addSentRun(NEW, 2);
            List<SchedulerOutput> outputs =
                    tick(300, new StartCallCompleted(2, NEW, 1, StartResult.NO_ROOM, 150));
            assertThat(heartbeat(outputs).waitMs()).isZero();
        }

        /** An order on its way when a restart is seen may reach the new incarnation afterwards. */
        @Test
        void keepsAStartThatIsOnItsWayWhenTheRestartIsSeen() {
            addSentRun(NEW, 2);
            tick(5, answerOfNewIncarnation());
            tick(445, new StartCallCompleted(2, NEW, 1, StartResult.NO_ANSWER));
            assertThat(mWorld.uncertainStarts().rows()).hasSize(1);
        }

        @Test
        void isNotSuspectedIfTheAnswerToAStartTellsASlowClock() {
            tick(5, answerAt(CLOCK_MS));
            long inFlight = callInFlight();
            mNowMs += 1_000;
            addSentRun(NEW, 2);
            tick(5, new StartCallCompleted(2, NEW, 1, StartResult.STARTED, CLOCK_MS + 985));
            assertThat(callInFlight()).isEqualTo(inFlight);
        }
    }
}
