package org.hibiscususher.core.scheduler.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.scheduler.message.StepProgress;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.message.TaskProgress;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StepRow;
import org.hibiscususher.core.scheduler.world.TaskRow;

/** Converts between the rows of a job and its stored progress record. */
public final class JobProgress {
    private JobProgress() {}

    /** Returns the progress record of a job; that of a finished job holds only its state. */
    public static StoredRecord.Progress toRecord(SchedulerWorld world, JobRow job) {
        List<StepProgress> steps = new ArrayList<>();
        List<TaskProgress> tasks = new ArrayList<>();
        if (!job.state().isFinal()) {
            for (StepRow step : JobLifecycle.activatedSteps(world, job)) {
                StepKey key = step.key();
                if (step.doneTasks().signum() != 0) {
                    steps.add(new StepProgress(key.occurrence(), key.step(), step.doneTasks()));
                }
                addTasks(world, job, step, tasks);
            }
        }
        return new StoredRecord.Progress(job.id(), job.state(), steps, tasks);
    }

    private static void addTasks(
            SchedulerWorld world, JobRow job, StepRow step, List<TaskProgress> tasks) {
        StepKey key = step.key();
        int count = job.spec().steps().get(key.step()).count();
        for (int i = 0; i < count; i++) {
            TaskRow task = world.tasks().find(key.task(i)).orElse(null);
            if (task != null && (!task.failedRuns().isEmpty() || !task.checkpoint().isEmpty())) {
                tasks.add(
                        new TaskProgress(
                                key.occurrence(),
                                key.step(),
                                i,
                                new ArrayList<>(task.failedRuns()),
                                task.checkpoint()));
            }
        }
    }

    /**
     * Applies a stored progress record to the tables of a new owner. A record without a job row is
     * ignored.
     */
    public static void restore(SchedulerTick tick, StoredRecord.Progress progress) {
        SchedulerWorld world = tick.world();
        JobRow job = world.jobs().find(progress.id()).orElse(null);
        if (job == null) {
            return;
        }
        long endedMs = progress.state().isFinal() ? tick.nowMs() : 0;
        world.jobs()
                .put(
                        job.id(),
                        job.withState(progress.state(), endedMs)
                                .withStoredVersion(0, progress.state(), tick.nowMs()));
        if (progress.state().isFinal()) {
            return;
        }
        JobLifecycle.activateDueOccurrences(tick, job.id());
        for (StepProgress step : progress.steps()) {
            StepKey key = new StepKey(job.id(), step.occurrence(), step.step());
            JobLifecycle.completeTasks(tick, key, step.doneTasks());
        }
        for (TaskProgress task : progress.tasks()) {
            StepKey key = new StepKey(job.id(), task.occurrence(), task.step());
            world.tasks().update(key.task(task.index()), row -> restored(row, task));
        }
    }

    /** Returns a task's row with its stored failed runs and checkpoint. */
    private static TaskRow restored(TaskRow task, TaskProgress stored) {
        return new TaskRow(
                task.key(),
                task.pool(),
                task.state(),
                stored.failedRuns().stream().reduce(task.lastRun(), Math::max),
                Set.copyOf(stored.failedRuns()),
                stored.checkpoint(),
                task.readySinceMs(),
                task.notBeforeMs(),
                task.lastFailedExecutor(),
                task.uncertain());
    }
}
