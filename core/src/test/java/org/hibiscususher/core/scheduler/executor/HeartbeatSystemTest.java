package org.hibiscususher.core.scheduler.executor;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.hibiscususher.core.job.FinishedRun;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.RunOutcome;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.scheduler.SchedulerWorlds;
import org.hibiscususher.core.scheduler.job.JobLifecycle;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HeartbeatAnswered;
import org.hibiscususher.core.scheduler.message.SchedulerOutput;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.SendHeartbeat;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Heartbeats to an executor that has run the two tasks of a job. */
class HeartbeatSystemTest {
    private static final long START_MS = 10_000;
    private static final String EXECUTOR = "x";
    private static final String JOB = "j";
    private static final StepKey STEP = new StepKey(JOB, 0, 0);

    private final SchedulerWorld mWorld = SchedulerWorlds.ofOwner(START_MS);
    private long mCallId = 100;
    private long mNowMs = START_MS;

    @BeforeEach
    void setUp() {
        SchedulerWorlds.addExecutor(mWorld, EXECUTOR, "p", Resources.of(9_000, 9, 0), START_MS);
        mWorld.jobs().put(JOB, SchedulerWorlds.runningJob(JOB, 2, START_MS));
        JobLifecycle.activateDueOccurrences(tickWith(List.of()), JOB);
    }

    private SchedulerTick tickWith(List<SchedulerInput> inputs) {
        return new SchedulerTick(mWorld, mNowMs, mNowMs, inputs, () -> ++mCallId);
    }

    /** Runs a tick with these inputs and another one after it; returns the next heartbeat. */
    private SendHeartbeat nextHeartbeat(SchedulerInput... inputs) {
        return Stream.of(List.of(inputs), List.<SchedulerInput>of())
                .flatMap(list -> tick(list).stream())
                .filter(SendHeartbeat.class::isInstance)
                .map(SendHeartbeat.class::cast)
                .findFirst()
                .orElseThrow();
    }

    private List<SchedulerOutput> tick(List<SchedulerInput> inputs) {
        mNowMs += 250;
        SchedulerTick tick = tickWith(inputs);
        ExecutorSystem.run(tick);
        HeartbeatSystem.run(tick);
        return tick.outputs();
    }

    private static HeartbeatAnswered answer(SendHeartbeat heartbeat, FinishedRun... finished) {
        return new HeartbeatAnswered(
                heartbeat.callId(), EXECUTOR, 1, 300, List.of(), List.of(finished), true);
    }

    private static FinishedRun finished(int sequence, RunOutcome outcome) {
        return new FinishedRun(sequence, STEP.task(sequence - 1), 1, outcome, "");
    }

    private void storeProgress() {
        JobRow job = mWorld.jobs().find(JOB).orElseThrow();
        mWorld.jobs().put(JOB, job.withStoredVersion(job.version(), job.state(), mNowMs));
    }

    /** Guards against ends of a finished job that are acknowledged before its state is stored. */
    @Nested
    class Acknowledgment {
        @ParameterizedTest
        @EnumSource(names = {"CANCELLED", "FAILED", "DONE"})
        void waitsUntilTheFinalStateOfTheJobIsStored(JobState state) {
            SendHeartbeat heartbeat = nextHeartbeat();
            JobLifecycle.finish(tickWith(List.of()), JOB, state, "test");
            FinishedRun[] ends = {finished(1, RunOutcome.DONE), finished(2, RunOutcome.STOPPED)};
            heartbeat = nextHeartbeat(answer(heartbeat, ends));
            assertThat(heartbeat.acknowledgedSequence()).isZero();
            heartbeat = nextHeartbeat(answer(heartbeat, ends));
            assertThat(heartbeat.acknowledgedSequence()).isZero();
            storeProgress();
            assertThat(nextHeartbeat(answer(heartbeat, ends)).acknowledgedSequence()).isEqualTo(2);
        }

        @Test
        void waitsForTheFailureOfTheJobThatTheEndCauses() {
            SendHeartbeat heartbeat = nextHeartbeat();
            FinishedRun[] ends = {finished(1, RunOutcome.FAILED), finished(2, RunOutcome.DONE)};
            heartbeat = nextHeartbeat(answer(heartbeat, ends));
            assertThat(heartbeat.acknowledgedSequence()).isZero();
            storeProgress();
            assertThat(nextHeartbeat(answer(heartbeat, ends)).acknowledgedSequence()).isEqualTo(2);
        }

        @Test
        void doesNotWaitForAJobThatIsUnknown() {
            SendHeartbeat heartbeat = nextHeartbeat();
            mWorld.jobs().remove(JOB);
            heartbeat = nextHeartbeat(answer(heartbeat, finished(1, RunOutcome.DONE)));
            assertThat(heartbeat.acknowledgedSequence()).isEqualTo(1);
        }
    }
}
