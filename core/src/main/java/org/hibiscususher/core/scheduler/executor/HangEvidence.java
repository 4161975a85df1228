package org.hibiscususher.core.scheduler.executor;

import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.estimate.RunTimes;
import org.hibiscususher.core.scheduler.job.JobLifecycle;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunStage;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;

/**
 * What shows that a run without progress hangs. A declared estimate only lengthens the time
 * allowed: progress is reported in whole percent, so a long run shows none for seconds or minutes.
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
                if (other != null && isAhead(other, run, spec)) {
                    found++;
                    slowestMs = Math.max(slowestMs, perPercentMs(other));
                }
            }
            return found < MIN_SIMILAR_RUNS ? NEVER : allowance(spec, slowestMs);
        }
    },
    /** Runs of similar steps on other executors have finished in less time. */
    FINISHED_RUNS {
        @Override
        long maxStallMs(SchedulerWorld world, RunRow run, StepSpec spec) {
            if (spec.service()) {
                return NEVER;
            }
            // The work behind one image may differ, which the declared estimate can tell.
            return RunTimes.expectFromOthers(world, run)
                    .map(others -> Math.max(others.p95Ms(), spec.estimateMs()))
                    .map(longMs -> longMs * MAX_MISSED_PERCENTS / FULL_PERCENT)
                    .map(missedMs -> Math.max(MIN_STALL_MS, missedMs))
                    .orElse(NEVER);
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
    },
    /** The run alone has made no progress for very long, while others on its executor do. */
    RUN_ALONE {
        @Override
        long maxStallMs(SchedulerWorld world, RunRow run, StepSpec spec) {
            return spec.service() ? NEVER : Math.max(MAX_STALL_MS, spec.estimateMs());
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
    private static final long MIN_STALL_WITHOUT_PROGRESS_MS = 10_000;

    /**
     * Time without progress after which a run counts as hung whatever else is known, in
     * milliseconds. A task that takes so long for a percent is stopped once or a few times, since
     * each earlier run doubles the time; one that hangs would keep its job from ever ending.
     */
    private static final long MAX_STALL_MS = 60_000;

    /** Part of the declared estimate that a run may take without any progress, in percent. */
    private static final long ESTIMATE_PERCENT_WITHOUT_PROGRESS = 30;

    /**
     * Percents of progress, each as long as usual, that a run may miss. A run that is several times
     * slower than the others still makes progress in that time.
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
        int earlierRuns = Math.max(0, RunLifecycle.startsInTerm(run.run()) - 1);
        return stalledMs >> Math.min(MAX_DOUBLINGS, earlierRuns) > maxStallMs(world, run, spec);
    }

    /**
     * Returns whether a run of the same step makes progress elsewhere while the given one doesn't.
     * A service task at work reports no further progress.
     */
    private static boolean isAhead(RunRow other, RunRow run, StepSpec spec) {
        boolean progresses =
                other.gainedPercent() > 0 && other.lastProgressMs() > run.lastProgressMs();
        boolean atWork = spec.service() && other.progressPercent() >= FULL_PERCENT;
        return other.stage() == RunStage.RUNNING
                && !other.executor().equals(run.executor())
                && (progresses || atWork);
    }

    /**
     * Returns how long a run has taken for each percent since its first report, in milliseconds; 0
     * if it has gained none.
     */
    private static long perPercentMs(RunRow run) {
        long activeMs = Math.max(0, run.lastProgressMs() - run.firstReport().atMs());
        return run.gainedPercent() <= 0 ? 0 : activeMs / run.gainedPercent();
    }

    private static long allowance(StepSpec spec, long perPercentMs) {
        long leastMs = spec.service() ? MIN_SERVICE_STALL_MS : MIN_STALL_MS;
        return Math.max(leastMs, MAX_MISSED_PERCENTS * perPercentMs);
    }

    /** Returns how long a run may stall by what it has shown itself. */
    private static long ownAllowance(RunRow run, StepSpec spec) {
        if (run.gainedPercent() > 0 || spec.service()) {
            return allowance(spec, perPercentMs(run));
        }
        long byEstimateMs = spec.estimateMs() * ESTIMATE_PERCENT_WITHOUT_PROGRESS / FULL_PERCENT;
        return Math.max(MIN_STALL_WITHOUT_PROGRESS_MS, byEstimateMs);
    }
}
