package org.hibiscususher.core.scheduler.executor;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.job.JobLifecycle;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HeartbeatAnswered;
import org.hibiscususher.core.scheduler.term.Authority;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunStage;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StepRow;
import org.hibiscususher.core.scheduler.world.StopReason;

/**
 * Stops runs that hang or are far slower than estimated, so that they continue elsewhere.
 *
 * <p>An executor can be slow or hang although it responds to heartbeats. The duration of a run is
 * predicted from its reported progress and compared with the estimate of its step. Slow runs of
 * several jobs mean that the executor is slow, and it is quarantined as well. If only one job is
 * slow, its estimate may be wrong, so its runs are stopped only if most tasks of their step are
 * done already.
 */
public final class StragglerSystem {
    /** Time without progress after which a run counts as hung, in milliseconds. */
    private static final long MAX_STALL_MS = 800;

    /**
     * Progress, in percent by the estimate, that a run may miss before it counts as hung. For a
     * long run this allows more time than {@link #MAX_STALL_MS}.
     */
    private static final int MAX_MISSED_PERCENT = 5;

    /**
     * Time without progress after which a service task counts as hung, in milliseconds. It is
     * longer, since such a task takes a while to start.
     */
    private static final long MAX_SERVICE_STALL_MS = 2_500;

    /** Age from which the speed of a run is judged, in milliseconds. */
    private static final long MIN_AGE_MS = 400;

    /** Multiple of the estimate beyond which a run is slow. */
    private static final int SLOW_FACTOR = 3;

    /** Time beyond that multiple after which a run is slow, in milliseconds. */
    private static final long SLOW_SLACK_MS = 500;

    /**
     * Runs of a task that may be stopped as slow in one term. More would keep a task with a wrong
     * estimate from ever finishing.
     */
    private static final int MAX_STOPPED_RUNS = 1;

    /** Number of jobs with slow runs on an executor from which the executor counts as slow. */
    private static final int MIN_SLOW_JOBS = 2;

    /** Time without new runs for an executor with a hung run, in milliseconds. */
    private static final long HUNG_QUARANTINE_MS = 4_000;

    /** Time without new runs for a slow executor, in milliseconds. */
    private static final long SLOW_QUARANTINE_MS = 2_500;

    private static final int FULL_PERCENT = 100;

    private StragglerSystem() {}

    /** Checks the executors that have responded to a heartbeat in this tick. */
    public static void run(SchedulerTick tick) {
        if (!Authority.mayStartRuns(tick)) {
            return;
        }
        for (HeartbeatAnswered answer : tick.inputs(HeartbeatAnswered.class)) {
            List<RunRow> runs = List.copyOf(tick.world().runs().group(answer.executor()));
            stopHung(tick, runs);
            stopSlow(tick, answer.executor(), runs);
        }
    }

    /** Stops hung runs and quarantines their executor. */
    private static void stopHung(SchedulerTick tick, List<RunRow> runs) {
        for (RunRow run : runs) {
            StepSpec spec = JobLifecycle.findSpec(tick.world(), run.task().stepKey()).orElse(null);
            long stalledMs = tick.nowMs() - run.lastProgressMs();
            if (isJudgeable(run, spec) && stalledMs > maxStallMs(spec)) {
                ExecutorHealth.quarantine(tick, run.executor(), HUNG_QUARANTINE_MS, "hung");
                RunLifecycle.requestStop(tick, run, StopReason.STALLED);
            }
        }
    }

    /** Stops slow runs unless only their job is slow. */
    private static void stopSlow(SchedulerTick tick, String executor, List<RunRow> runs) {
        List<RunRow> slow = new ArrayList<>();
        Set<String> jobs = new HashSet<>();
        for (RunRow run : runs) {
            StepSpec spec = JobLifecycle.findSpec(tick.world(), run.task().stepKey()).orElse(null);
            long ageMs = tick.nowMs() - run.orderAnsweredMs();
            if (isJudgeable(run, spec)
                    && !spec.service()
                    && isSlow(ageMs, run.progressPercent(), spec.estimateMs())) {
                slow.add(run);
                jobs.add(run.task().jobId());
            }
        }
        boolean executorIsSlow = jobs.size() >= MIN_SLOW_JOBS;
        if (executorIsSlow) {
            ExecutorHealth.quarantine(tick, executor, SLOW_QUARANTINE_MS, "slow");
        }
        for (RunRow run : slow) {
            boolean mayBeStopped = run.run() % RunLifecycle.RUNS_PER_TERM <= MAX_STOPPED_RUNS;
            if (mayBeStopped && (executorIsSlow || isMostOfStepDone(tick.world(), run))) {
                RunLifecycle.requestStop(tick, run, StopReason.STALLED);
            }
        }
    }

    /**
     * Returns whether the progress of a run can be judged. Members of a gang wait for each other,
     * and throttled runs are slow on purpose.
     */
    private static boolean isJudgeable(RunRow run, StepSpec spec) {
        return spec != null
                && !spec.gang()
                && run.stage() == RunStage.RUNNING
                && run.progressPercent() < FULL_PERCENT
                && run.speedLimitPercent() >= FULL_PERCENT;
    }

    /** Returns whether more than half of the tasks of the run's step are done. */
    private static boolean isMostOfStepDone(SchedulerWorld world, RunRow run) {
        StepRow step = world.steps().find(run.task().stepKey()).orElse(null);
        return step != null && step.doneTasks().bitCount() > step.remaining();
    }

    /** Returns for how many milliseconds the reported progress of a run may stay the same. */
    private static long maxStallMs(StepSpec spec) {
        long perPercentMs = spec.estimateMs() / FULL_PERCENT;
        return spec.service()
                ? MAX_SERVICE_STALL_MS
                : Math.max(MAX_STALL_MS, MAX_MISSED_PERCENT * perPercentMs);
    }

    /**
     * Returns whether a run is slow and would finish later than a new run elsewhere.
     *
     * @param ageMs time since it started, in milliseconds
     * @param percent part of its work that is done, in percent
     * @param estimateMs estimated duration in milliseconds; 0 if unknown
     */
    static boolean isSlow(long ageMs, int percent, long estimateMs) {
        if (estimateMs <= 0 || ageMs < MIN_AGE_MS) {
            return false;
        }
        long predictedMs = ageMs * FULL_PERCENT / Math.max(1, percent);
        boolean slow = predictedMs > SLOW_FACTOR * estimateMs + SLOW_SLACK_MS;
        return slow && predictedMs - ageMs > 2 * estimateMs;
    }
}
