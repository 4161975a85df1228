package org.hibiscususher.core.scheduler.job;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hibiscususher.core.job.JobRequestKind;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.job.TaskKey;
import org.hibiscususher.core.scheduler.executor.RunLifecycle;
import org.hibiscususher.core.scheduler.message.SchedulerOutput;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Respond;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.PendingRequestRow;
import org.hibiscususher.core.scheduler.world.PendingRequestStage;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StepRow;
import org.hibiscususher.core.scheduler.world.StopReason;
import org.hibiscususher.core.scheduler.world.TaskRow;
import org.hibiscususher.core.scheduler.world.TaskState;

/** The life of a job: steps whose turn comes, tasks that are done, and the job's end. */
public final class JobLifecycle {
    private JobLifecycle() {}

    /** Applies that the store holds a new job: its callers hear of it, its first steps begin. */
    public static void markStored(SchedulerTick tick, String id) {
        SchedulerWorld world = tick.world();
        JobRow job = world.jobs().find(id).orElse(null);
        if (job == null) {
            return;
        }
        world.jobs().put(id, job.asStored());
        tick.log(
                "accepted",
                "job="
                        + id
                        + " queue="
                        + job.policy().queue()
                        + " team="
                        + job.team()
                        + " tasks="
                        + job.spec().steps().stream().mapToInt(StepSpec::count).sum()
                        + " plan="
                        + world.configuration().get().configuration().version()
                        + " age_ms="
                        + (tick.nowMs() - job.arrivedMs()));
        tick.count("accepted");
        answer(tick, id, JobRequestKind.SUBMIT, JobResponse.of(JobResponseKind.ACCEPTED));
        activateDueOccurrences(tick, id);
    }

    /** Applies that the store holds a job's progress. */
    public static void markProgressStored(
            SchedulerTick tick, StoredRecord.Progress progress, long version) {
        SchedulerWorld world = tick.world();
        world.jobs()
                .update(
                        progress.id(),
                        j -> j.withStoredVersion(version, progress.state(), tick.nowMs()));
        if (progress.state().isFinal()) {
            answer(
                    tick,
                    progress.id(),
                    JobRequestKind.CANCEL,
                    JobResponse.of(JobResponseKind.CANCELLED));
        }
    }

    private static void answer(
            SchedulerTick tick, String id, JobRequestKind kind, JobResponse answer) {
        SchedulerWorld world = tick.world();
        for (PendingRequestRow call : world.pendingRequests().rows()) {
            if (call.stage() == PendingRequestStage.AWAITING_STORE
                    && call.job().equals(id)
                    && call.request().kind() == kind) {
                tick.emit(new Respond(call.callId(), answer));
                world.pendingRequests().remove(call.callId());
            }
        }
    }

    /** Begins the occurrences of a job that are due. */
    public static void activateDueOccurrences(SchedulerTick tick, String id) {
        SchedulerWorld world = tick.world();
        JobRow job = world.jobs().find(id).orElse(null);
        if (job == null || !job.acceptsRuns()) {
            return;
        }
        for (int k = 0; k < job.spec().occurrences(); k++) {
            StepKey first = new StepKey(id, k, 0);
            if (job.spec().scheduledMs(k) > tick.wallMs()) {
                return;
            }
            if (!world.steps().contains(first)) {
                releaseReady(tick, job, first);
            }
        }
    }

    /** Begins the steps of an occurrence that wait for no step that is not done. */
    private static void releaseReady(SchedulerTick tick, JobRow job, StepKey any) {
        for (int i = 0; i < job.spec().steps().size(); i++) {
            StepKey key = any.sibling(i);
            boolean ready =
                    job.spec().steps().get(i).dependsOn().stream()
                            .allMatch(before -> isDone(tick.world(), any.sibling(before)));
            if (ready && !tick.world().steps().contains(key)) {
                release(tick, job, key);
            }
        }
    }

    private static boolean isDone(SchedulerWorld world, StepKey key) {
        return world.steps().find(key).filter(s -> s.remaining() == 0).isPresent();
    }

    private static void release(SchedulerTick tick, JobRow job, StepKey key) {
        SchedulerWorld world = tick.world();
        int count = job.spec().steps().get(key.step()).count();
        world.steps().put(key, new StepRow(key, BigInteger.ZERO, count, 0));
        for (int i = 0; i < count; i++) {
            TaskKey task = key.task(i);
            world.tasks()
                    .put(
                            task,
                            new TaskRow(
                                    task,
                                    job.policy().pool(),
                                    TaskState.WAITING,
                                    0,
                                    Set.of(),
                                    "",
                                    tick.nowMs(),
                                    0,
                                    "",
                                    job.inherited()));
        }
    }

    /**
     * Begins a step because an executor lists a run of it.
     *
     * <p>An earlier owner began the step, so it saw all tasks of the steps before it done, even if
     * the store does not hold that.
     */
    public static void activateForReportedRun(SchedulerTick tick, StepKey key) {
        JobRow job = tick.world().jobs().find(key.jobId()).orElse(null);
        if (job == null
                || !job.acceptsRuns()
                || tick.world().steps().contains(key)
                || !isPartOf(job, key)) {
            return;
        }
        for (int before : job.spec().steps().get(key.step()).dependsOn()) {
            activateForReportedRun(tick, key.sibling(before));
            int count = job.spec().steps().get(before).count();
            for (int i = 0; i < count; i++) {
                completeTask(tick, key.sibling(before).task(i), true);
            }
        }
        if (!tick.world().steps().contains(key)) {
            release(tick, tick.world().jobs().find(job.id()).orElseThrow(), key);
        }
    }

    private static boolean isPartOf(JobRow job, StepKey key) {
        return key.step() >= 0
                && key.step() < job.spec().steps().size()
                && key.occurrence() >= 0
                && key.occurrence() < job.spec().occurrences();
    }

    /** Marks tasks of a step as done that a record names. */
    static void completeTasks(SchedulerTick tick, StepKey key, BigInteger done) {
        for (int i = 0; i < done.bitLength(); i++) {
            if (done.testBit(i)) {
                completeTask(tick, key.task(i), false);
            }
        }
    }

    /**
     * Applies that a task is done.
     *
     * @param news whether the store does not hold it yet
     * @return whether the task was not done before
     */
    public static boolean completeTask(SchedulerTick tick, TaskKey key, boolean news) {
        SchedulerWorld world = tick.world();
        StepRow step = world.steps().find(key.stepKey()).orElse(null);
        JobRow job = world.jobs().find(key.jobId()).orElse(null);
        if (step == null || job == null || step.doneTasks().testBit(key.index())) {
            return false;
        }
        world.tasks().remove(key);
        StepRow after = step.withTaskDone(key.index());
        world.steps().put(step.key(), after);
        JobRow changed = news ? job.withChange(tick.nowMs()) : job;
        changed = after.remaining() == 0 ? changed.withStepDone() : changed;
        world.jobs().put(job.id(), changed);
        if (after.remaining() == 0) {
            releaseReady(tick, changed, step.key());
            if (changed.remainingSteps() == 0) {
                finish(tick, job.id(), JobState.DONE, "all-tasks-done");
            }
        }
        return true;
    }

    /** Applies that a task's run has begun. */
    public static void markRunning(SchedulerTick tick, String id) {
        SchedulerWorld world = tick.world();
        JobRow job = world.jobs().find(id).orElse(null);
        if (job != null && job.state() == JobState.QUEUED) {
            world.jobs().put(id, job.withState(JobState.RUNNING, 0).withChange(tick.nowMs()));
            tick.emit(new SchedulerOutput.Measure("job.wait", tick.nowMs() - job.arrivedMs()));
        }
    }

    /** Brings a job to a final state: its runs are stopped, no more are started. */
    public static void finish(SchedulerTick tick, String id, JobState state, String reason) {
        SchedulerWorld world = tick.world();
        JobRow job = world.jobs().find(id).orElse(null);
        if (job == null || job.state().isFinal()) {
            return;
        }
        world.jobs().put(id, job.withState(state, tick.nowMs()).withChange(tick.nowMs()));
        tick.log(
                "ended",
                "job="
                        + id
                        + " state="
                        + state
                        + " reason="
                        + reason
                        + " age_ms="
                        + (tick.nowMs() - job.arrivedMs())
                        + " objective_ms="
                        + (job.deadlineMs() - job.arrivedMs()));
        tick.count("ended." + state);
        for (StepRow step : activatedSteps(world, job)) {
            int count = job.spec().steps().get(step.key().step()).count();
            for (int i = 0; i < count; i++) {
                TaskKey task = step.key().task(i);
                world.tasks().remove(task);
                world.runs()
                        .find(task)
                        .filter(r -> r.stage().isWanted())
                        .ifPresent(r -> RunLifecycle.requestStop(tick, r, StopReason.JOB_ENDED));
            }
            world.steps().remove(step.key());
        }
    }

    /** Returns the steps of a job whose turn has come. */
    public static List<StepRow> activatedSteps(SchedulerWorld world, JobRow job) {
        List<StepRow> found = new ArrayList<>();
        for (int k = 0; k < job.spec().occurrences(); k++) {
            for (int i = 0; i < job.spec().steps().size(); i++) {
                world.steps().find(new StepKey(job.id(), k, i)).ifPresent(found::add);
            }
        }
        return found;
    }

    /** Returns what a step asks for, if its job is known. */
    public static Optional<StepSpec> findSpec(SchedulerWorld world, StepKey key) {
        return world.jobs().find(key.jobId()).map(j -> j.spec().steps().get(key.step()));
    }
}
