package org.hibiscususher.core.scheduler.estimate;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hibiscususher.core.job.FinishedRun;
import org.hibiscususher.core.job.RunOutcome;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.executor.RunLifecycle;
import org.hibiscususher.core.scheduler.message.ExecutorReport;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.ExecutorSessionRow;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunStage;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TaskRow;

/**
 * Decides which finished runs tell how long similar runs take, and adds these to the samples.
 *
 * <p>A run counts only if nothing but the work and the executor decided on its duration. Runs of
 * best-effort steps are left out, since they have the processor time that others leave; these are
 * the only ones that are throttled.
 */
public final class RunSampling {
    private RunSampling() {}

    /**
     * Samples a run whose end an executor reports for the first time.
     *
     * @param run the run, which must still be in the table, as must the other runs of its gang
     */
    public static void record(SchedulerTick tick, FinishedRun finished, RunRow run) {
        SchedulerWorld world = tick.world();
        JobRow job = world.jobs().find(run.task().jobId()).orElse(null);
        if (finished.outcome() != RunOutcome.DONE || job == null || !job.acceptsRuns()) {
            return;
        }
        int step = run.task().stepKey().step();
        StepSpec spec = job.spec().steps().get(step);
        if (isSampledTask(run, spec)
                && isFirstStart(world, job, run)
                && isUndisturbed(tick, run)
                && isNear(world, spec, run)) {
            long durationMs = tick.nowMs() - run.orderAnsweredMs();
            RunTimes.add(
                    tick,
                    RunTimeKey.of(job, step),
                    new RunTimeSample(run.executor(), durationMs, spec.estimateMs()));
        }
    }

    /**
     * Returns whether the run is of the one task of its step that is sampled. The estimates of a
     * job's tasks are off alike, so that the samples of two wide jobs would fill a window and pass
     * for what all jobs do. Which task it is differs between jobs, as the executors do then.
     */
    private static boolean isSampledTask(RunRow run, StepSpec spec) {
        return run.task().index() == sampledIndex(run.task().jobId(), spec.count());
    }

    /** Returns the index of the task of a step that is sampled. */
    static int sampledIndex(String job, int count) {
        return Math.floorMod(job.hashCode(), count);
    }

    /**
     * Returns whether this owner started the run, as the first one of its task and without a
     * checkpoint. That isn't known for a job that an earlier owner accepted.
     */
    private static boolean isFirstStart(SchedulerWorld world, JobRow job, RunRow run) {
        TaskRow task = world.tasks().find(run.task()).orElse(null);
        return task != null
                && !job.inherited()
                && RunLifecycle.startsInTerm(run.run()) == 1
                && task.failedRuns().isEmpty()
                && task.checkpoint().isEmpty();
    }

    /** Returns whether this owner saw the run on a healthy executor until its end. */
    private static boolean isUndisturbed(SchedulerTick tick, RunRow run) {
        ExecutorSessionRow session =
                tick.world().executorSessions().find(run.executor()).orElse(null);
        return run.stage() == RunStage.RUNNING
                && run.orderAnsweredMs() != 0
                && session != null
                && session.quarantinedUntilMs() <= tick.nowMs();
    }

    /** Returns whether the run was near its data and the other runs of its gang. */
    private static boolean isNear(SchedulerWorld world, StepSpec spec, RunRow run) {
        List<String> labels = labels(world, run.executor());
        return !spec.service()
                && !spec.bestEffortCpu()
                && (spec.dataRack().isEmpty() || labels.contains(spec.dataRack()))
                && (!spec.gang() || isOnOneRack(world, spec, run));
    }

    /**
     * Returns whether the runs of a gang are on one executor, or on executors with the same labels,
     * of which the rack is one.
     */
    private static boolean isOnOneRack(SchedulerWorld world, StepSpec spec, RunRow run) {
        Set<String> executors = new HashSet<>();
        Set<Set<String>> labels = new HashSet<>();
        for (int i = 0; i < spec.count(); i++) {
            RunRow member = world.runs().find(run.task().stepKey().task(i)).orElse(null);
            if (member == null) {
                return false;
            }
            executors.add(member.executor());
            labels.add(Set.copyOf(labels(world, member.executor())));
        }
        return executors.size() == 1 || labels.size() == 1 && !labels.contains(Set.<String>of());
    }

    private static List<String> labels(SchedulerWorld world, String executor) {
        return world.executors()
                .find(executor)
                .map(ExecutorRow::report)
                .map(ExecutorReport::labels)
                .orElse(List.of());
    }
}
