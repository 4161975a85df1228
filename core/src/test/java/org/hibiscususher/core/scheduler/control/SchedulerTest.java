package org.hibiscususher.core.scheduler.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hibiscususher.core.job.JobAddress;
import org.hibiscususher.core.job.JobConfiguration;
import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobPool;
import org.hibiscususher.core.job.JobQueue;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobRequestKind;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.JobTeam;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.SchedulerWorlds;
import org.hibiscususher.core.scheduler.message.LoadedRecord;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ConfigurationUpdated;
import org.hibiscususher.core.scheduler.message.SchedulerInput.RecordsLoaded;
import org.hibiscususher.core.scheduler.message.SchedulerInput.RequestReceived;
import org.hibiscususher.core.scheduler.message.SchedulerInput.StoreReachabilityChanged;
import org.hibiscususher.core.scheduler.message.SchedulerOutput;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Respond;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.SchedulerSettings;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerTiming;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TaskRow;
import org.hibiscususher.core.scheduler.world.TaskState;
import org.hibiscususher.core.scheduler.world.TermRow;
import org.hibiscususher.core.scheduler.world.TermStage;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Failures within a tick, which must cost no more than what was malformed. */
class SchedulerTest {
    private static final long NOW_MS = 10_000;
    private static final JobPolicy POLICY = new JobPolicy("q", "p", 0, 3, 2, 500, false);

    private final Scheduler mScheduler =
            Scheduler.create(
                    new SchedulerSettings("n", 1, "n", List.of(), 0, SchedulerTiming.DEFAULT));
    private final SchedulerWorld mWorld = mScheduler.world();

    @BeforeEach
    void setUp() {
        mWorld.term().set(term(TermStage.OWNING, 0));
        JobConfiguration configuration =
                new JobConfiguration(
                        1,
                        List.of(new JobQueue("host", "/q/", true, POLICY)),
                        List.of(new JobPool("p", true, false)),
                        List.of(new JobTeam("t", 1, Resources.NONE, Set.of("key"))));
        tick(new ConfigurationUpdated(configuration, 1));
    }

    private static TermRow term(TermStage stage, long callId) {
        return new TermRow(stage, 2, 5, 7, NOW_MS + 1_000, NOW_MS, callId, NOW_MS, 0, false, true);
    }

    private List<SchedulerOutput> tick(SchedulerInput... inputs) {
        return mScheduler.tick(NOW_MS, NOW_MS, List.of(inputs));
    }

    /** Adds a task without a job to a pool in use: a state that no system expects. */
    private void addOrphan() {
        SchedulerWorlds.addExecutor(mWorld, "x", "p", Resources.of(1_000, 1_000, 0), NOW_MS);
        StepKey step = new StepKey("lost", 0, 0);
        mWorld.tasks()
                .put(
                        step.task(0),
                        new TaskRow(
                                step.task(0),
                                "p",
                                TaskState.WAITING,
                                0,
                                Set.of(),
                                "",
                                NOW_MS,
                                0,
                                "",
                                false));
    }

    private static JobResponseKind responseKind(List<SchedulerOutput> outputs) {
        return outputs.stream()
                .filter(Respond.class::isInstance)
                .map(o -> ((Respond) o).response().kind())
                .findFirst()
                .orElseThrow();
    }

    private static boolean logs(List<SchedulerOutput> outputs, String event) {
        return outputs.stream()
                .anyMatch(o -> o instanceof SchedulerOutput.Log log && log.event().equals(event));
    }

    @Nested
    class FailingRequest {
        private final RequestReceived mSubmission =
                new RequestReceived(
                        1,
                        JobRequest.of(
                                JobRequestKind.SUBMIT,
                                "host",
                                "/q/0000000000000001",
                                "key",
                                Optional.of(
                                        JobSpec.once(
                                                "x",
                                                List.of(
                                                        StepSpec.of(
                                                                1,
                                                                Resources.of(1, 1, 0),
                                                                1,
                                                                List.of()))))),
                        NOW_MS);
        private final RequestReceived mQuery =
                new RequestReceived(
                        2,
                        JobRequest.of(
                                JobRequestKind.QUERY,
                                "host",
                                "/q/0000000000000002",
                                "key",
                                Optional.empty()),
                        NOW_MS);

        @Test
        void isAnsweredThatItsOutcomeIsUnknown() {
            addOrphan();
            List<SchedulerOutput> outputs = tick(mSubmission);
            assertThat(responseKind(outputs)).isEqualTo(JobResponseKind.UNKNOWN);
            assertThat(logs(outputs, "part-failed")).isTrue();
        }

        @Test
        void leavesOtherInputsOfTheTickAlone() {
            addOrphan();
            List<SchedulerOutput> outputs =
                    tick(mSubmission, mQuery, new StoreReachabilityChanged(false));
            List<Long> answered = new ArrayList<>();
            for (SchedulerOutput output : outputs) {
                if (output instanceof Respond respond) {
                    answered.add(respond.callId());
                }
            }
            assertThat(answered).containsExactly(1L, 2L);
            assertThat(mWorld.nodeState().get().storeReachable()).isFalse();
        }
    }

    @Nested
    class FailingInput {
        private final List<SchedulerInput> mHandled = new ArrayList<>();

        @Test
        void doesNotKeepLaterOnesFromBeingHandled() {
            SchedulerInput odd = new StoreReachabilityChanged(false);
            SchedulerInput sound = new StoreReachabilityChanged(true);
            SchedulerTick tick =
                    new SchedulerTick(mWorld, NOW_MS, NOW_MS, List.of(odd, sound), () -> 1);
            tick.forEachInput(SchedulerInput.class, this::handle);
            assertThat(mHandled).containsExactly(sound);
            assertThat(logs(tick.outputs(), "part-failed")).isTrue();
        }

        private void handle(SchedulerInput input) {
            if (input instanceof StoreReachabilityChanged change && !change.reachable()) {
                throw new IllegalStateException("malformed");
            }
            mHandled.add(input);
        }
    }

    /** A record whose step depends on one that doesn't exist stopped the takeover for good. */
    @Nested
    class MalformedRecord {
        private LoadedRecord record(String id, int dependency) {
            List<Integer> dependsOn = dependency < 0 ? List.of() : List.of(dependency);
            StepSpec step = StepSpec.of(1, Resources.of(1, 1, 0), 1, dependsOn);
            StoredRecord.Job job =
                    new StoredRecord.Job(
                            id,
                            POLICY,
                            JobAddress.UNKNOWN,
                            "t",
                            JobSpec.once("x", List.of(step)),
                            NOW_MS);
            return new LoadedRecord(job.name(), 3, Optional.of(job));
        }

        @Test
        void doesNotKeepTheOwnerFromTakingOverTheOthers() {
            mWorld.term().set(term(TermStage.LOADING, 9));
            tick(new RecordsLoaded(9, List.of(record("odd", 5), record("sound", -1))));
            assertThat(mWorld.term().get().stage()).isEqualTo(TermStage.OWNING);
            assertThat(mWorld.jobs().contains("odd")).isFalse();
            assertThat(mWorld.tasks().contains(new StepKey("sound", 0, 0).task(0))).isTrue();
        }
    }

    /** A process that has just started, beside a store whose answers may be old. */
    @Nested
    class Restart {
        private final Scheduler mRestarted =
                Scheduler.create(
                        new SchedulerSettings("n", 2, "n", List.of(), 0, SchedulerTiming.DEFAULT));

        private JobResponseKind query(String key) {
            JobRequest request =
                    JobRequest.of(JobRequestKind.QUERY, "host", "/q/01", key, Optional.empty());
            return responseKind(tickRestarted(new RequestReceived(1, request, NOW_MS)));
        }

        private List<SchedulerOutput> tickRestarted(SchedulerInput input) {
            return mRestarted.tick(NOW_MS, NOW_MS, List.of(input));
        }

        private ConfigurationUpdated configuration(long version, String... keys) {
            return new ConfigurationUpdated(
                    new JobConfiguration(
                            version,
                            List.of(new JobQueue("host", "/q/", false, POLICY)),
                            List.of(new JobPool("p", true, false)),
                            List.of(new JobTeam("t", 1, Resources.NONE, Set.of(keys)))),
                    version);
        }

        @Test
        void admitsNobodyBeforeItKnowsAConfiguration() {
            mRestarted.world().term().set(term(TermStage.OWNING, 0));
            assertThat(query("withdrawn")).isEqualTo(JobResponseKind.UNAVAILABLE);
        }

        @Test
        void doesNotAdmitAWithdrawnKeyByAnOlderConfiguration() {
            mRestarted.world().term().set(term(TermStage.OWNING, 0));
            tickRestarted(configuration(8, "valid"));
            tickRestarted(configuration(7, "valid", "withdrawn"));
            assertThat(query("withdrawn")).isEqualTo(JobResponseKind.NO_KEY);
            assertThat(query("valid")).isEqualTo(JobResponseKind.NO_JOB);
        }
    }

    /** Slow ticks that the log doesn't explain. */
    @Nested
    class SlowTick {
        private static final long STEP_NS = 3_000_000;

        private long mNs;

        @Test
        void logsWhichSystemsTookLong() {
            Scheduler scheduler =
                    Scheduler.create(
                            new SchedulerSettings(
                                    "n", 1, "n", List.of(), 0, SchedulerTiming.DEFAULT),
                            () -> mNs += STEP_NS);
            List<SchedulerOutput> outputs = scheduler.tick(NOW_MS, NOW_MS, List.of());
            assertThat(outputs)
                    .filteredOn(o -> o instanceof SchedulerOutput.Log log && isTickSlow(log))
                    .singleElement()
                    .asString()
                    .contains("PLACEMENT=3");
        }

        private boolean isTickSlow(SchedulerOutput.Log log) {
            return log.event().equals("tick-slow");
        }

        @Test
        void logsNothingOfAFastTick() {
            assertThat(tick())
                    .noneMatch(o -> o instanceof SchedulerOutput.Log log && isTickSlow(log));
        }
    }
}
