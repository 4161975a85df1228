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

/** Translates between a job's tables and the record of its progress. */
public final class JobProgress {
    private JobProgress() {}

    /** Returns the record of how far a job has come. */
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
            SchedulerWorld world, JobRow job, StepRow step, List<TaskProgress> marks) {
        StepKey key = step.key();
        int count = job.spec().steps().get(key.step()).count();
        for (int i = 0; i < count; i++) {
            TaskRow task = world.tasks().find(key.task(i)).orElse(null);
            if (task != null && (!task.failedRuns().isEmpty() || !task.checkpoint().isEmpty())) {
                marks.add(
                        new TaskProgress(
                                key.occurrence(),
                                key.step(),
                                i,
                                new ArrayList<>(task.failedRuns()),
                                task.checkpoint()));
            }
        }
    }

    /** Puts a job's progress back into the tables. */
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
        for (StepProgress mark : progress.steps()) {
            StepKey key = new StepKey(job.id(), mark.occurrence(), mark.step());
            JobLifecycle.completeTasks(tick, key, mark.doneTasks());
        }
        for (TaskProgress mark : progress.tasks()) {
            StepKey key = new StepKey(job.id(), mark.occurrence(), mark.step());
            world.tasks().update(key.task(mark.index()), t -> restored(t, mark));
        }
    }

    private static TaskRow restored(TaskRow task, TaskProgress mark) {
        return new TaskRow(
                task.key(),
                task.pool(),
                task.state(),
                mark.failedRuns().stream().reduce(task.lastRun(), Math::max),
                Set.copyOf(mark.failedRuns()),
                mark.checkpoint(),
                task.readySinceMs(),
                task.notBeforeMs(),
                task.lastFailedExecutor(),
                task.uncertain());
    }
}
