package org.hibiscususher.standin.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.hibiscususher.core.job.JobAddress;
import org.hibiscususher.core.job.JobConfiguration;
import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobPool;
import org.hibiscususher.core.job.JobQueue;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobRequestKind;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.JobTeam;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.job.TaskKey;
import org.hibiscususher.core.scheduler.control.Scheduler;
import org.hibiscususher.core.scheduler.message.ExecutorReport;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ConfigurationUpdated;
import org.hibiscususher.core.scheduler.message.SchedulerInput.RequestReceived;
import org.hibiscususher.core.scheduler.message.SchedulerOutput;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.StartRun;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.ExecutorSessionRow;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.SchedulerSettings;
import org.hibiscususher.core.scheduler.world.SchedulerTiming;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StepRow;
import org.hibiscususher.core.scheduler.world.TaskRow;
import org.hibiscususher.core.scheduler.world.TaskState;
import org.hibiscususher.core.scheduler.world.TermRow;
import org.hibiscususher.core.scheduler.world.TermStage;

/**
 * Measures the processor time of the owner's ticks while many tasks wait and submissions arrive.
 *
 * <p>The pools are full but for one executor, which becomes free in each tick, so that each tick
 * decides on submissions, on the order of all that waits, and on some starts.
 */
final class TickBench {
    private static final int EXECUTORS = 264;
    private static final int POOLS = 5;
    private static final int TASKS_PER_JOB = 8;
    private static final int SUBMISSIONS_PER_TICK = 10;
    private static final int TICKS = 2_000;
    private static final int WARM_UP_TICKS = 1_000;
    private static final int TICK_INTERVAL_MS = 10;

    /** Short enough for the submissions to be rejected, so that the backlog stays as it is. */
    private static final long OBJECTIVE_SLACK_MS = 600;

    private static final long START_MS = 100_000;
    private static final long FENCE = 5;
    private static final long LEASE_MS = 3_600_000;
    private static final Resources HOST = Resources.of(64_000, 128_000, 0);
    private static final Resources TASK = Resources.of(16_000, 1_000, 0);

    private final Scheduler mScheduler =
            Scheduler.create(
                    new SchedulerSettings("n", 1, "n", List.of(), 0, SchedulerTiming.DEFAULT));
    private final SchedulerWorld mWorld = mScheduler.world();
    private final ThreadMXBean mThreads = ManagementFactory.getThreadMXBean();
    private final Histogram mTickMicros = new Histogram(3);
    private final Histogram mStartMicros = new Histogram(3);
    private long mNowMs = START_MS;
    private long mJobs;

    /** Prints the times of ticks with a number of waiting tasks. */
    static void run(int waitingTasks) {
        System.out.println(
                "waiting tasks, executors: tick p50 p99 max ms, tick p50 per started task us");
        TickBench bench = new TickBench();
        bench.setUp(waitingTasks);
        bench.measure();
        bench.print(waitingTasks);
    }

    private void setUp(int waitingTasks) {
        mWorld.term()
                .set(
                        new TermRow(
                                TermStage.OWNING,
                                2,
                                FENCE,
                                7,
                                START_MS + LEASE_MS,
                                START_MS,
                                0,
                                START_MS,
                                0,
                                false,
                                true));
        List<JobQueue> queues = new ArrayList<>();
        List<JobPool> pools = new ArrayList<>();
        for (int i = 0; i < POOLS; i++) {
            queues.add(new JobQueue("h", "/q" + i + "/", true, policy(i)));
            pools.add(new JobPool("p" + i, true, false));
        }
        List<JobTeam> teams = List.of(new JobTeam("t", 1, Resources.NONE, Set.of("key")));
        tick(List.of(new ConfigurationUpdated(new JobConfiguration(1, queues, pools, teams), 1)));
        for (int i = 0; i < EXECUTORS; i++) {
            addExecutor(i);
        }
        for (int i = 0; i < waitingTasks / TASKS_PER_JOB; i++) {
            addJob(i % POOLS);
        }
    }

    private static JobPolicy policy(int pool) {
        return new JobPolicy("q" + pool, "p" + pool, 0, 3, 1.6, OBJECTIVE_SLACK_MS, false);
    }

    private static JobSpec spec(long estimateMs) {
        return JobSpec.once("x", List.of(StepSpec.of(TASKS_PER_JOB, TASK, estimateMs, List.of())));
    }

    private void addExecutor(int number) {
        String id = "x" + number;
        ExecutorReport report =
                new ExecutorReport(
                        id,
                        "p" + number % POOLS,
                        "h" + number,
                        "z",
                        "m" + number,
                        List.of(),
                        HOST,
                        false,
                        0,
                        0);
        mWorld.executors().put(id, new ExecutorRow(report, 1, 0, false, true, false, 0));
        mWorld.executorSessions()
                .put(
                        id,
                        ExecutorSessionRow.initial(id, 0)
                                .withHeartbeatSent(1, FENCE, mNowMs, 0)
                                .withHeartbeatAnswered(1, 1, mNowMs));
    }

    private void addJob(int pool) {
        String id = String.format(Locale.ROOT, "%016x", ++mJobs);
        StoredRecord.Job record =
                new StoredRecord.Job(
                        id, policy(pool), JobAddress.UNKNOWN, "t", spec(500 + mJobs % 700), mNowMs);
        mWorld.jobs().put(id, JobRow.received(record, mNowMs).asStored());
        StepKey step = new StepKey(id, 0, 0);
        mWorld.steps().put(step, new StepRow(step, BigInteger.ZERO, TASKS_PER_JOB, 0));
        for (int i = 0; i < TASKS_PER_JOB; i++) {
            mWorld.tasks()
                    .put(
                            step.task(i),
                            new TaskRow(
                                    step.task(i),
                                    "p" + pool,
                                    TaskState.WAITING,
                                    0,
                                    Set.of(),
                                    "",
                                    mNowMs,
                                    0,
                                    "",
                                    false));
        }
    }

    private void measure() {
        for (int i = 0; i < WARM_UP_TICKS; i++) {
            tickUnderLoad(i);
        }
        mTickMicros.reset();
        mStartMicros.reset();
        for (int i = 0; i < TICKS; i++) {
            tickUnderLoad(i);
        }
    }

    /** Frees an executor, replaces what its runs leave of the backlog, and runs a tick. */
    private void tickUnderLoad(int number) {
        String executor = "x" + number % EXECUTORS;
        List<TaskKey> ended =
                mWorld.runs().group(executor).stream().map(run -> run.task()).toList();
        ended.forEach(mWorld.runs()::remove);
        ended.forEach(mWorld.tasks()::remove);
        if (!ended.isEmpty()) {
            addJob(number % EXECUTORS % POOLS);
        }
        List<SchedulerInput> inputs = new ArrayList<>();
        for (int i = 0; i < SUBMISSIONS_PER_TICK; i++) {
            inputs.add(submission(number, i));
        }
        mNowMs += TICK_INTERVAL_MS;
        long startNs = mThreads.getCurrentThreadCpuTime();
        List<SchedulerOutput> outputs = mScheduler.tick(mNowMs, mNowMs, inputs);
        long micros = TimeUnit.NANOSECONDS.toMicros(mThreads.getCurrentThreadCpuTime() - startNs);
        long starts = outputs.stream().filter(StartRun.class::isInstance).count();
        mTickMicros.recordValue(micros);
        if (starts > 0) {
            mStartMicros.recordValue(micros / starts);
        }
    }

    private RequestReceived submission(int tick, int number) {
        String id = String.format(Locale.ROOT, "f%07x%08x", tick, number);
        JobRequest request =
                JobRequest.of(
                        JobRequestKind.SUBMIT,
                        "h",
                        "/q" + number % POOLS + "/" + id,
                        "key",
                        Optional.of(spec(800)));
        return new RequestReceived(number, request, mNowMs);
    }

    private void tick(List<SchedulerInput> inputs) {
        mNowMs += TICK_INTERVAL_MS;
        mScheduler.tick(mNowMs, mNowMs, inputs);
    }

    private void print(int waitingTasks) {
        System.out.printf(
                Locale.ROOT,
                "%d, %d: %.2f %.2f %.2f ms, %d us%n",
                waitingTasks,
                EXECUTORS,
                mTickMicros.getValueAtPercentile(50) / 1_000.0,
                mTickMicros.getValueAtPercentile(99) / 1_000.0,
                mTickMicros.getMaxValue() / 1_000.0,
                mStartMicros.getValueAtPercentile(50));
    }
}
