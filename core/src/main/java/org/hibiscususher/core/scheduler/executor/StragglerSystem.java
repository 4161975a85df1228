package org.hibiscususher.core.scheduler.executor;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.estimate.RunTimeEstimate;
import org.hibiscususher.core.scheduler.estimate.RunTimes;
import org.hibiscususher.core.scheduler.job.JobLifecycle;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HeartbeatAnswered;
import org.hibiscususher.core.scheduler.term.Authority;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunStage;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StopReason;

/**
 * Stops runs that hang, and runs on slow executors, so that they continue elsewhere.
 *
 * <p>An executor can be slow or hang although it responds to heartbeats. A declared estimate alone
 * stops no run: an executor is slow if runs of several jobs on it take far longer than similar runs
 * did on other executors, and a run hangs only by {@link HangEvidence}. A run that merely takes
 * longer than expected continues to its end.
 */
public final class StragglerSystem {
    /** Age from which the speed of a run is judged, in milliseconds. */
    private static final long MIN_AGE_MS = 400;

    /** Multiple of the usual run time beyond which a run is slow. */
    private static final int SLOW_FACTOR = 3;

    /** Time beyond that multiple after which a run is slow, in milliseconds. */
    private static final long SLOW_SLACK_MS = 500;

    /** Runs of a task that may be stopped as slow in one term, so that each task finishes. */
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
        List<RunRow> hung = new ArrayList<>();
        for (RunRow run : runs) {
            findHangEvidence(tick, run)
                    .ifPresent(
                            evidence -> {
                                hung.add(run);
                                tick.log(
                                        "run-hung", RunLifecycle.describe(run) + " by=" + evidence);
                            });
        }
        for (RunRow run : hung) {
            ExecutorHealth.quarantine(tick, run.executor(), HUNG_QUARANTINE_MS, "hung");
            RunLifecycle.requestStop(tick, run, StopReason.STALLED);
        }
    }

    private static Optional<HangEvidence> findHangEvidence(SchedulerTick tick, RunRow run) {
        StepSpec spec = JobLifecycle.findSpec(tick.world(), run.task().stepKey()).orElse(null);
        if (!isJudgeable(run, spec)) {
            return Optional.empty();
        }
        long stalledMs = tick.nowMs() - run.lastProgressMs();
        return Arrays.stream(HangEvidence.values())
                .filter(evidence -> evidence.shows(tick.world(), run, spec, stalledMs))
                .findFirst();
    }

    /** Stops slow runs and quarantines their executor, if runs of several jobs are slow on it. */
    private static void stopSlow(SchedulerTick tick, String executor, List<RunRow> runs) {
        List<RunRow> slow = new ArrayList<>();
        Set<String> jobs = new HashSet<>();
        for (RunRow run : runs) {
            if (isFarSlower(tick, run)) {
                slow.add(run);
                jobs.add(run.task().jobId());
            }
        }
        if (jobs.size() < MIN_SLOW_JOBS) {
            return;
        }
        ExecutorHealth.quarantine(tick, executor, SLOW_QUARANTINE_MS, "slow");
        for (RunRow run : slow) {
            if (RunLifecycle.startsInTerm(run.run()) <= MAX_STOPPED_RUNS) {
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

    /** Returns whether a run is far slower than similar runs were on other executors. */
    private static boolean isFarSlower(SchedulerTick tick, RunRow run) {
        SchedulerWorld world = tick.world();
        StepSpec spec = JobLifecycle.findSpec(world, run.task().stepKey()).orElse(null);
        long ageMs = tick.nowMs() - run.orderAnsweredMs();
        if (!isJudgeable(run, spec) || spec.service()) {
            return false;
        }
        return RunTimes.expectFromOthers(world, run)
                .filter(others -> isSlow(ageMs, run.progressPercent(), others))
                .isPresent();
    }

    /**
     * Returns whether a run is slow and would finish later than a new run elsewhere.
     *
     * @param ageMs time since it started, in milliseconds
     * @param percent part of its work that is done, in percent
     * @param others run time on other executors
     */
    static boolean isSlow(long ageMs, int percent, RunTimeEstimate others) {
        long usualMs = others.medianMs();
        if (usualMs <= 0 || ageMs < MIN_AGE_MS) {
            return false;
        }
        long predictedMs = ageMs * FULL_PERCENT / Math.max(1, percent);
        long limitMs = Math.max(SLOW_FACTOR * usualMs, others.p95Ms()) + SLOW_SLACK_MS;
        return predictedMs > limitMs && predictedMs - ageMs > 2 * usualMs;
    }
}
