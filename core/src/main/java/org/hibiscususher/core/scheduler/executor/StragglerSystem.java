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
 * Stops runs that stand still or are far slower than they should be, so that they go on elsewhere.
 *
 * <p>Answers executors that are slow or hang although they answer well: the progress that they list
 * tells how long a run will take, against the estimate of its step.
 */
public final class StragglerSystem {
    /** Time without progress after which a run counts as standing still, in milliseconds. */
    private static final long STILL_MS = 800;

    /** Progress that a run makes in the time for which its listed progress may stay the same. */
    private static final int STILL_PERCENT = 5;

    /** The same for a lasting task, which takes some time to start. */
    private static final long STILL_LASTING_MS = 2_500;

    /** Youngest run whose pace is judged, in milliseconds. */
    private static final long MIN_AGE_MS = 400;

    /** A run is slow if it would take more than so many times its estimate. */
    private static final int SLOW_FACTOR = 3;

    private static final long SLOW_SLACK_MS = 500;

    /** Runs of a task in one term that may be stopped for being slow. */
    private static final int MAX_STOPPED_RUNS = 1;

    /** Jobs with slow runs on an executor that show that the executor is slow. */
    private static final int SLOW_JOBS = 2;

    private static final long HUNG_ASIDE_MS = 4_000;
    private static final long SLOW_ASIDE_MS = 2_500;
    private static final int FULL = 100;

    private StragglerSystem() {}

    /** Runs over the executors that have just told their runs. */
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

    private static void stopHung(SchedulerTick tick, List<RunRow> runs) {
        for (RunRow run : runs) {
            StepSpec spec = JobLifecycle.findSpec(tick.world(), run.task().stepKey()).orElse(null);
            long stillMs = tick.nowMs() - run.lastProgressMs();
            if (isJudged(run, spec) && stillMs > stillLimitMs(spec)) {
                ExecutorHealth.quarantine(tick, run.executor(), HUNG_ASIDE_MS, "hung");
                RunLifecycle.requestStop(tick, run, StopReason.STALLED);
            }
        }
    }

    /** Stops slow runs if it is the executor that is slow, and not the job. */
    private static void stopSlow(SchedulerTick tick, String executor, List<RunRow> runs) {
        List<RunRow> slow = new ArrayList<>();
        Set<String> jobs = new HashSet<>();
        for (RunRow run : runs) {
            StepSpec spec = JobLifecycle.findSpec(tick.world(), run.task().stepKey()).orElse(null);
            long ageMs = tick.nowMs() - run.orderAnsweredMs();
            if (isJudged(run, spec)
                    && !spec.service()
                    && isSlow(ageMs, run.speedPercent(), spec.estimateMs())) {
                slow.add(run);
                jobs.add(run.task().jobId());
            }
        }
        boolean several = jobs.size() >= SLOW_JOBS;
        if (several) {
            ExecutorHealth.quarantine(tick, executor, SLOW_ASIDE_MS, "slow");
        }
        for (RunRow run : slow) {
            boolean first = run.run() % RunLifecycle.RUNS_PER_TERM <= MAX_STOPPED_RUNS;
            if (first && (several || othersAreDone(tick.world(), run))) {
                RunLifecycle.requestStop(tick, run, StopReason.STALLED);
            }
        }
    }

    private static boolean isJudged(RunRow run, StepSpec spec) {
        return spec != null
                && !spec.gang()
                && run.stage() == RunStage.RUNNING
                && run.speedPercent() < FULL
                && run.speedLimitPercent() >= FULL;
    }

    /** Returns whether most tasks of the run's step are done already. */
    private static boolean othersAreDone(SchedulerWorld world, RunRow run) {
        StepRow step = world.steps().find(run.task().stepKey()).orElse(null);
        return step != null && step.doneTasks().bitCount() > step.remaining();
    }

    /** Returns for how long a run's listed progress may stay the same. */
    private static long stillLimitMs(StepSpec spec) {
        long perPercentMs = spec.estimateMs() / FULL;
        return spec.service() ? STILL_LASTING_MS : Math.max(STILL_MS, STILL_PERCENT * perPercentMs);
    }

    /**
     * Returns whether a run would better begin anew elsewhere.
     *
     * @param ageMs how long it has run
     * @param percent part of its work that is done
     * @param estimateMs how long it should take; 0 if unknown
     */
    static boolean isSlow(long ageMs, int percent, long estimateMs) {
        if (estimateMs <= 0 || ageMs < MIN_AGE_MS) {
            return false;
        }
        long wholeMs = ageMs * FULL / Math.max(1, percent);
        boolean slow = wholeMs > SLOW_FACTOR * estimateMs + SLOW_SLACK_MS;
        return slow && wholeMs - ageMs > 2 * estimateMs;
    }
}
