package org.hibiscususher.core.scheduler.executor;

import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.estimate.RunTimeKey;
import org.hibiscususher.core.scheduler.estimate.RunTimePrediction;
import org.hibiscususher.core.scheduler.job.JobLifecycle;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunStage;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;

/**
 * What shows that a run without progress hangs. An estimate alone never does: progress is reported
 * in whole percent, so a long run shows none for seconds or minutes.
 */
enum HangEvidence {
    /** Runs of the same step on other executors have made progress since this one did. */
    SIMILAR_RUNS {
        @Override
        long maxStallMs(SchedulerWorld world, RunRow run, StepSpec spec) {
            StepKey step = run.task().stepKey();
            int scanned = Math.min(spec.count(), MAX_SCANNED_RUNS);
            int found = 0;
            long slowestMs = 0;
            for (int i = 0; i < scanned && found < MIN_SIMILAR_RUNS; i++) {
                int index = (run.task().index() + 1 + i) % spec.count();
                RunRow other = world.runs().find(step.task(index)).orElse(null);
                if (other != null && isAhead(other, run)) {
                    found++;
                    slowestMs = Math.max(slowestMs, perPercentMs(other));
                }
            }
            return found < MIN_SIMILAR_RUNS ? NEVER : allowance(spec, slowestMs);
        }
    },
    /** Runs of like steps on other executors have finished in less time. */
    FINISHED_RUNS {
        @Override
        long maxStallMs(SchedulerWorld world, RunRow run, StepSpec spec) {
            JobRow job = world.jobs().find(run.task().jobId()).orElse(null);
            if (job == null || spec.service()) {
                return NEVER;
            }
            RunTimePrediction others =
                    world.runTimes()
                            .find(RunTimeKey.of(job, run.task().stepKey().step()))
                            .map(row -> row.predictionWithout(run.executor()))
                            .filter(RunTimePrediction::isSupported)
                            .orElse(null);
            if (others == null) {
                return NEVER;
            }
            long p95Ms = others.estimate(spec.estimateMs()).p95Ms();
            return Math.max(MIN_STALL_MS, p95Ms * MAX_MISSED_PERCENTS / FULL_PERCENT);
        }
    },
    /** No run of the executor makes progress. */
    WHOLE_EXECUTOR {
        @Override
        long maxStallMs(SchedulerWorld world, RunRow run, StepSpec spec) {
            long longestMs = 0;
            for (RunRow other : world.runs().group(run.executor())) {
                StepSpec otherSpec =
                        JobLifecycle.findSpec(world, other.task().stepKey()).orElse(null);
                if (other.stage() == RunStage.RUNNING
                        && other.progressPercent() < FULL_PERCENT
                        && otherSpec != null) {
                    // The run whose progress is the newest must have stalled for its time as well.
                    long aheadMs = other.lastProgressMs() - run.lastProgressMs();
                    longestMs = Math.max(longestMs, aheadMs + ownAllowance(other, otherSpec));
                }
            }
            return longestMs;
        }
    };

    /** Result if there is no such evidence. */
    static final long NEVER = Long.MAX_VALUE;

    /** Time without progress within which no run counts as hung, in milliseconds. */
    private static final long MIN_STALL_MS = 800;

    /** The same for a service task, in milliseconds. Such a task takes a while to start. */
    private static final long MIN_SERVICE_STALL_MS = 2_500;

    /**
     * Time without any progress from the start after which a run counts as hung if nothing but its
     * own executor is known, in milliseconds. Runs of up to 1,000 s show progress by then.
     */
    private static final long MIN_UNSTARTED_STALL_MS = 10_000;

    /** Part of the declared estimate that such a run may take, in percent; estimates are rough. */
    private static final long UNSTARTED_ESTIMATE_PERCENT = 30;

    /**
     * Percents of progress, each as long as usual, that a run may miss. One task in thirty takes
     * seven times its usual time, single ones twelve times, and reports whole percents.
     */
    private static final long MAX_MISSED_PERCENTS = 20;

    /** Runs on other executors that must make progress. */
    private static final int MIN_SIMILAR_RUNS = 2;

    /** Most tasks of a step that are looked at for a run that has stalled. */
    private static final int MAX_SCANNED_RUNS = 64;

    private static final int FULL_PERCENT = 100;

    /** Doublings of the allowance for a task whose runs were stopped before, at most. */
    private static final int MAX_DOUBLINGS = 10;

    /**
     * Returns for how many milliseconds a run may report no progress before it counts as hung.
     *
     * @param spec the run's step
     */
    abstract long maxStallMs(SchedulerWorld world, RunRow run, StepSpec spec);

    /**
     * Returns whether a run counts as hung by this evidence. Each earlier run of its task in this
     * term doubles the time, so that no task is stopped without end.
     */
    boolean shows(SchedulerWorld world, RunRow run, StepSpec spec, long stalledMs) {
        if (stalledMs <= allowance(spec, 0)) {
            return false;
        }
        int earlierRuns = Math.max(0, run.run() % RunLifecycle.RUNS_PER_TERM - 1);
        return stalledMs >> Math.min(MAX_DOUBLINGS, earlierRuns) > maxStallMs(world, run, spec);
    }

    private static boolean isAhead(RunRow other, RunRow run) {
        return other.stage() == RunStage.RUNNING
                && !other.executor().equals(run.executor())
                && other.progressPercent() > 0
                && other.lastProgressMs() > run.lastProgressMs();
    }

    /** Returns how long a run has taken for each percent, in milliseconds. */
    private static long perPercentMs(RunRow run) {
        long activeMs = Math.max(0, run.lastProgressMs() - run.orderAnsweredMs());
        return activeMs / Math.max(1, run.progressPercent());
    }

    private static long allowance(StepSpec spec, long perPercentMs) {
        long leastMs = spec.service() ? MIN_SERVICE_STALL_MS : MIN_STALL_MS;
        return Math.max(leastMs, MAX_MISSED_PERCENTS * perPercentMs);
    }

    /** Returns how long a run may stall by what it has shown itself. */
    private static long ownAllowance(RunRow run, StepSpec spec) {
        if (run.progressPercent() > 0 || spec.service()) {
            return allowance(spec, perPercentMs(run));
        }
        long byEstimateMs = spec.estimateMs() * UNSTARTED_ESTIMATE_PERCENT / FULL_PERCENT;
        return Math.max(MIN_UNSTARTED_STALL_MS, byEstimateMs);
    }
}
