package org.hibiscususher.core.scheduler.executor;

import org.hibiscususher.core.job.FinishedRun;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.job.RunOutcome;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.job.TaskKey;
import org.hibiscususher.core.scheduler.job.JobLifecycle;
import org.hibiscususher.core.scheduler.world.FinishedRunKey;
import org.hibiscususher.core.scheduler.world.FinishedRunRow;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StopReason;
import org.hibiscususher.core.scheduler.world.TaskRow;

/** Takes in the ends of runs that executors list. */
final class FinishedRuns {
    /** Rest before a task runs again whose run failed, in milliseconds. */
    private static final long FAILED_REST_MS = 20;

    private FinishedRuns() {}

    /** Takes in an end that was not taken in before. */
    static void apply(SchedulerTick tick, String executor, FinishedRun end) {
        SchedulerWorld world = tick.world();
        JobRow job = world.jobs().find(end.task().jobId()).orElse(null);
        RunRow run =
                world.runs()
                        .find(end.task())
                        .filter(r -> r.run() == end.run() && r.executor().equals(executor))
                        .orElse(null);
        tick.log(
                "run-ended",
                "job="
                        + end.task().jobId()
                        + " task="
                        + end.task().text()
                        + " run="
                        + end.run()
                        + " executor="
                        + executor
                        + " how="
                        + end.outcome()
                        + " number="
                        + end.sequence()
                        + " current="
                        + (run != null));
        tick.count("run-ended." + end.outcome());
        if (run != null) {
            world.runs().remove(run.task());
            ExecutorHealth.recordEnd(tick, executor);
        }
        if (job == null || !job.acceptsRuns()) {
            return;
        }
        JobLifecycle.activateForReportedRun(tick, end.task().stepKey());
        apply(tick, executor, end, run);
        long version = world.jobs().find(job.id()).map(JobRow::version).orElse(0L);
        FinishedRunKey key = new FinishedRunKey(executor, end.sequence());
        world.finishedRuns().put(key, new FinishedRunRow(key, job.id(), version));
    }

    private static void apply(SchedulerTick tick, String executor, FinishedRun end, RunRow run) {
        SchedulerWorld world = tick.world();
        StepSpec spec = JobLifecycle.findSpec(world, end.task().stepKey()).orElse(null);
        if (spec == null) {
            return;
        }
        if (end.outcome() == RunOutcome.DONE && !spec.service()) {
            done(tick, executor, end, spec);
            return;
        }
        world.tasks().update(end.task(), t -> t.withRunAtLeast(end.run()));
        if (end.outcome().countsAsAttempt()) {
            failed(tick, executor, end, spec);
        }
        boolean current = run != null || !world.runs().contains(end.task());
        if (current) {
            long restMs =
                    end.outcome() == RunOutcome.FAILED && !spec.service() ? FAILED_REST_MS : 0;
            world.tasks()
                    .update(end.task(), t -> t.asWaiting(tick.nowMs(), restMs, end.checkpoint()));
        }
        if (!end.checkpoint().isEmpty() && !spec.service()) {
            world.jobs().update(end.task().jobId(), j -> j.withChange(tick.nowMs()));
        }
    }

    private static void done(SchedulerTick tick, String executor, FinishedRun end, StepSpec spec) {
        SchedulerWorld world = tick.world();
        ExecutorHealth.recordSuccess(tick, executor);
        StepKey step = end.task().stepKey();
        int first = spec.gang() ? 0 : end.task().index();
        int last = spec.gang() ? spec.count() - 1 : end.task().index();
        for (int i = first; i <= last; i++) {
            TaskKey task = step.task(i);
            RunRow other = world.runs().find(task).orElse(null);
            if (other != null && other.run() == end.run()) {
                world.runs().remove(task);
            } else if (other != null && other.stage().isWanted()) {
                RunLifecycle.requestStop(tick, other, StopReason.JOB_ENDED);
            }
            JobLifecycle.completeTask(tick, task, true);
        }
    }

    private static void failed(
            SchedulerTick tick, String executor, FinishedRun end, StepSpec spec) {
        SchedulerWorld world = tick.world();
        ExecutorHealth.recordFailure(tick, executor);
        TaskKey counted = spec.gang() ? end.task().stepKey().task(0) : end.task();
        TaskRow task = world.tasks().find(counted).orElse(null);
        if (task == null || spec.service() || task.failedRuns().contains(end.run())) {
            return;
        }
        TaskRow failed = task.withFailure(end.run(), executor);
        world.tasks().put(counted, failed);
        JobRow job = world.jobs().find(end.task().jobId()).orElseThrow();
        world.jobs().put(job.id(), job.withChange(tick.nowMs()));
        if (failed.failedRuns().size() >= job.policy().maxFailures()) {
            JobLifecycle.finish(
                    tick, job.id(), JobState.FAILED, "attempts-used task=" + counted.text());
        }
    }
}
