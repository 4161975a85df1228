package org.hibiscususher.core.scheduler.executor;

import org.hibiscususher.core.job.FinishedRun;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.job.RunOutcome;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.job.TaskKey;
import org.hibiscususher.core.scheduler.estimate.RunSampling;
import org.hibiscususher.core.scheduler.job.JobLifecycle;
import org.hibiscususher.core.scheduler.world.FinishedRunKey;
import org.hibiscususher.core.scheduler.world.FinishedRunRow;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StopReason;
import org.hibiscususher.core.scheduler.world.TaskRow;

/**
 * Applies the outcomes of finished runs that executors report.
 *
 * <p>An executor reports each finished run until it is acknowledged. An outcome that was
 * acknowledged before the store held it would be lost if this owner failed, so each one is kept
 * with the version of its job that contains it, and {@link HeartbeatSystem} acknowledges it once
 * the store holds that version.
 */
final class FinishedRuns {
    /** Delay before the task of a failed run starts again, in milliseconds. */
    private static final long RETRY_DELAY_MS = 20;

    private FinishedRuns() {}

    /**
     * Applies a finished run that was not applied before.
     *
     * @param executor id of the executor that reports it
     */
    static void apply(SchedulerTick tick, String executor, FinishedRun finished) {
        SchedulerWorld world = tick.world();
        JobRow job = world.jobs().find(finished.task().jobId()).orElse(null);
        RunRow run =
                world.runs()
                        .find(finished.task())
                        .filter(r -> r.run() == finished.run() && r.executor().equals(executor))
                        .orElse(null);
        logEnd(tick, executor, finished, job, run != null);
        if (run != null) {
            RunSampling.record(tick, finished, run);
            world.runs().remove(run.task());
            ExecutorHealth.recordEnd(tick, executor);
        }
        if (job == null) {
            return;
        }
        if (job.acceptsRuns()) {
            JobLifecycle.activateForReportedRun(tick, finished.task().stepKey());
            applyToTask(tick, executor, finished, run);
        }
        keepUntilStored(world, executor, finished);
    }

    /**
     * Keeps a finished run until the store holds its outcome, or the final state of its job, which
     * makes the outcome irrelevant. A final state that is not stored can still be lost with this
     * owner; the next one would run the tasks again.
     */
    private static void keepUntilStored(
            SchedulerWorld world, String executor, FinishedRun finished) {
        String job = finished.task().jobId();
        long version = world.jobs().find(job).map(JobRow::version).orElse(0L);
        FinishedRunKey key = new FinishedRunKey(executor, finished.sequence());
        world.finishedRuns().put(key, new FinishedRunRow(key, job, version));
    }

    private static void logEnd(
            SchedulerTick tick,
            String executor,
            FinishedRun finished,
            JobRow job,
            boolean current) {
        tick.log(
                "run-ended",
                "job="
                        + finished.task().jobId()
                        + " task="
                        + finished.task().text()
                        + " run="
                        + finished.run()
                        + " executor="
                        + executor
                        + " how="
                        + finished.outcome()
                        + " number="
                        + finished.sequence()
                        + " current="
                        + current
                        + " state="
                        + (job == null ? "unknown" : job.state())
                        + " stored="
                        + (job == null ? "unknown" : job.storedState()));
        tick.count("run-ended." + finished.outcome());
    }

    private static void applyToTask(
            SchedulerTick tick, String executor, FinishedRun finished, RunRow run) {
        SchedulerWorld world = tick.world();
        StepSpec spec = JobLifecycle.findSpec(world, finished.task().stepKey()).orElse(null);
        if (spec == null) {
            return;
        }
        if (finished.outcome() == RunOutcome.DONE && !spec.service()) {
            completeTask(tick, executor, finished, spec);
            return;
        }
        world.tasks().update(finished.task(), t -> t.withRunAtLeast(finished.run()));
        if (finished.outcome().countsAsAttempt()) {
            countFailure(tick, executor, finished, spec);
        }
        // A report of an old run must not make a task wait that has a newer run.
        boolean current = run != null || !world.runs().contains(finished.task());
        if (current) {
            long delayMs =
                    finished.outcome() == RunOutcome.FAILED && !spec.service() ? RETRY_DELAY_MS : 0;
            world.tasks()
                    .update(
                            finished.task(),
                            t -> t.asWaiting(tick.nowMs(), delayMs, finished.checkpoint()));
        }
        if (!finished.checkpoint().isEmpty() && !spec.service()) {
            world.jobs().update(finished.task().jobId(), j -> j.withChange(tick.nowMs()));
        }
    }

    /**
     * Applies that a task is done; a gang is done as a whole. Stops other runs of the same task.
     */
    private static void completeTask(
            SchedulerTick tick, String executor, FinishedRun finished, StepSpec spec) {
        SchedulerWorld world = tick.world();
        ExecutorHealth.recordSuccess(tick, executor);
        StepKey step = finished.task().stepKey();
        int firstIndex = spec.gang() ? 0 : finished.task().index();
        int lastIndex = spec.gang() ? spec.count() - 1 : finished.task().index();
        for (int i = firstIndex; i <= lastIndex; i++) {
            TaskKey task = step.task(i);
            RunRow other = world.runs().find(task).orElse(null);
            if (other != null && other.run() == finished.run()) {
                world.runs().remove(task);
            } else if (other != null && other.stage().isWanted()) {
                RunLifecycle.requestStop(tick, other, StopReason.JOB_ENDED);
            }
            JobLifecycle.completeTask(tick, task, true);
        }
    }

    /** Counts a failed run, and ends the job as failed when the task has no attempts left. */
    private static void countFailure(
            SchedulerTick tick, String executor, FinishedRun finished, StepSpec spec) {
        SchedulerWorld world = tick.world();
        ExecutorHealth.recordFailure(tick, executor);
        TaskKey counted = spec.gang() ? finished.task().stepKey().task(0) : finished.task();
        TaskRow task = world.tasks().find(counted).orElse(null);
        if (task == null || spec.service() || task.failedRuns().contains(finished.run())) {
            return;
        }
        TaskRow failed = task.withFailure(finished.run(), executor);
        world.tasks().put(counted, failed);
        JobRow job = world.jobs().find(finished.task().jobId()).orElseThrow();
        world.jobs().put(job.id(), job.withChange(tick.nowMs()));
        if (failed.failedRuns().size() >= job.policy().maxFailures()) {
            JobLifecycle.finish(
                    tick, job.id(), JobState.FAILED, "attempts-used task=" + counted.text());
        }
    }
}
