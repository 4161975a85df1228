package org.hibiscususher.core.scheduler.job;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.BitSet;
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
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.PendingRequestRow;
import org.hibiscususher.core.scheduler.world.PendingRequestStage;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StepRow;
import org.hibiscususher.core.scheduler.world.StopReason;
import org.hibiscususher.core.scheduler.world.TaskRow;
import org.hibiscususher.core.scheduler.world.TaskState;

/**
 * Changes of a job's state: acceptance, activation of steps, completion of tasks, and the job's
 * end.
 *
 * <p>A step is activated, that is, gets rows for itself and its tasks, when all steps that it
 * depends on are done. Callers are answered only after the store holds the change, so that a
 * takeover can't contradict an answer already given.
 */
public final class JobLifecycle {
    private JobLifecycle() {}

    /**
     * Marks a new job as stored, answers its submission and queries, and activates its first steps,
     * unless it was cancelled meanwhile.
     */
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
        respond(tick, id, JobRequestKind.SUBMIT, JobResponse.of(JobResponseKind.ACCEPTED));
        respond(tick, id, JobRequestKind.QUERY, JobResponse.ofState(job.visibleState()));
        activateDueOccurrences(tick, id);
    }

    /**
     * Removes a job that the store certainly doesn't hold and will not hold. A cancellation of it
     * outlives it, since its submission may be repeated.
     */
    public static void removeUnstored(SchedulerTick tick, String id) {
        Optional<JobRow> job = tick.world().jobs().find(id);
        tick.world().jobs().remove(id);
        respond(tick, id, JobRequestKind.QUERY, JobResponse.of(JobResponseKind.NO_JOB));
        if (job.filter(j -> j.state() == JobState.CANCELLED).isPresent()) {
            JobCancellations.add(tick, id);
        }
    }

    /**
     * Marks a job's progress as stored; if the job is finished, answers requests to cancel it.
     *
     * @param version version of the job that the record shows
     */
    public static void markProgressStored(
            SchedulerTick tick, StoredRecord.Progress progress, long version) {
        SchedulerWorld world = tick.world();
        world.jobs()
                .update(
                        progress.id(),
                        j -> j.withStoredVersion(version, progress.state(), tick.nowMs()));
        if (progress.state().isFinal()) {
            respond(
                    tick,
                    progress.id(),
                    JobRequestKind.CANCEL,
                    JobResponse.of(JobResponseKind.CANCELLED));
        }
    }

    /** Answers the requests of one kind that wait until a job is stored. */
    private static void respond(
            SchedulerTick tick, String id, JobRequestKind kind, JobResponse response) {
        for (PendingRequestRow request : requestsAwaitingStore(tick.world(), id)) {
            if (request.request().kind() == kind) {
                tick.emit(request.respond(response));
                tick.world().pendingRequests().remove(request.callId());
            }
        }
    }

    /** Returns the requests that wait until the store holds a change of a job. */
    public static List<PendingRequestRow> requestsAwaitingStore(SchedulerWorld world, String id) {
        return world.pendingRequests().group(id).stream()
                .filter(r -> r.stage() == PendingRequestStage.AWAITING_STORE)
                .toList();
    }

    /** Activates the first steps of those occurrences of a job that are due. */
    public static void activateDueOccurrences(SchedulerTick tick, String id) {
        SchedulerWorld world = tick.world();
        JobRow job = world.jobs().find(id).orElse(null);
        if (job == null || !job.acceptsRuns()) {
            return;
        }
        for (int occurrence = 0; occurrence < job.spec().occurrences(); occurrence++) {
            StepKey first = new StepKey(id, occurrence, 0);
            if (job.spec().scheduledMs(occurrence) > tick.wallMs()) {
                return;
            }
            if (!world.steps().contains(first)) {
                activateReadySteps(tick, job, first);
            }
        }
    }

    /**
     * Activates the steps of an occurrence whose dependencies are all done.
     *
     * @param any any step of the occurrence
     */
    private static void activateReadySteps(SchedulerTick tick, JobRow job, StepKey any) {
        for (int i = 0; i < job.spec().steps().size(); i++) {
            StepKey key = any.sibling(i);
            boolean ready =
                    job.spec().steps().get(i).dependsOn().stream()
                            .allMatch(dependency -> isDone(tick.world(), any.sibling(dependency)));
            if (ready && !tick.world().steps().contains(key)) {
                activateStep(tick, job, key);
            }
        }
    }

    private static boolean isDone(SchedulerWorld world, StepKey key) {
        return world.steps().find(key).filter(s -> s.remaining() == 0).isPresent();
    }

    /** Adds the rows of a step and of its tasks, which then wait for executors. */
    private static void activateStep(SchedulerTick tick, JobRow job, StepKey key) {
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
     * Activates a step because an executor reports a run of it.
     *
     * <p>The earlier owner that started the run had activated the step, so all steps that it
     * depends on were done, even if the store doesn't show that yet. They are marked as done here;
     * otherwise their tasks would run a second time.
     */
    public static void activateForReportedRun(SchedulerTick tick, StepKey key) {
        JobRow job = tick.world().jobs().find(key.jobId()).orElse(null);
        if (job == null
                || !job.acceptsRuns()
                || tick.world().steps().contains(key)
                || !isPartOf(job, key)) {
            return;
        }
        BitSet predecessors = predecessors(tick.world(), job, key);
        for (int i = predecessors.nextSetBit(0); i >= 0; i = predecessors.nextSetBit(i + 1)) {
            activateIfAbsent(tick, key.sibling(i));
            int count = job.spec().steps().get(i).count();
            for (int index = 0; index < count; index++) {
                completeTask(tick, key.sibling(i).task(index), true);
            }
        }
        activateIfAbsent(tick, key);
    }

    /**
     * Returns the steps that must be done before a step, up to those that have been activated. A
     * step depends on earlier ones only, so that one pass finds all.
     */
    private static BitSet predecessors(SchedulerWorld world, JobRow job, StepKey key) {
        BitSet found = new BitSet();
        job.spec().steps().get(key.step()).dependsOn().forEach(found::set);
        for (int i = key.step() - 1; i >= 0; i--) {
            if (found.get(i) && !world.steps().contains(key.sibling(i))) {
                job.spec().steps().get(i).dependsOn().forEach(found::set);
            }
        }
        return found;
    }

    private static void activateIfAbsent(SchedulerTick tick, StepKey key) {
        if (!tick.world().steps().contains(key)) {
            activateStep(tick, tick.world().jobs().find(key.jobId()).orElseThrow(), key);
        }
    }

    private static boolean isPartOf(JobRow job, StepKey key) {
        return key.step() >= 0
                && key.step() < job.spec().steps().size()
                && key.occurrence() >= 0
                && key.occurrence() < job.spec().occurrences();
    }

    private static boolean isPartOf(JobRow job, TaskKey key) {
        return isPartOf(job, key.stepKey())
                && key.index() >= 0
                && key.index() < job.spec().steps().get(key.stepKey().step()).count();
    }

    /**
     * Marks tasks of a step as done, as restored from the store.
     *
     * @param done a bit for each task that is done, by its index in the step
     */
    static void completeTasks(SchedulerTick tick, StepKey key, BigInteger done) {
        for (int i = 0; i < done.bitLength(); i++) {
            if (done.testBit(i)) {
                completeTask(tick, key.task(i), false);
            }
        }
    }

    /**
     * Marks a task as done, activates the steps that become ready, and finishes the job with its
     * last step.
     *
     * @param toBeStored whether the store doesn't show yet that the task is done
     * @return whether the task is part of the job and was not marked as done before
     */
    public static boolean completeTask(SchedulerTick tick, TaskKey key, boolean toBeStored) {
        SchedulerWorld world = tick.world();
        StepRow step = world.steps().find(key.stepKey()).orElse(null);
        JobRow job = world.jobs().find(key.jobId()).orElse(null);
        if (step == null || job == null || !isPartOf(job, key)) {
            return false;
        }
        if (step.doneTasks().testBit(key.index())) {
            return false;
        }
        world.tasks().remove(key);
        StepRow updatedStep = step.withTaskDone(key.index());
        world.steps().put(step.key(), updatedStep);
        JobRow updatedJob = toBeStored ? job.withChange(tick.nowMs()) : job;
        updatedJob = updatedStep.remaining() == 0 ? updatedJob.withStepDone() : updatedJob;
        world.jobs().put(job.id(), updatedJob);
        if (updatedStep.remaining() == 0) {
            activateReadySteps(tick, updatedJob, step.key());
            if (updatedJob.remainingSteps() == 0) {
                finish(tick, job.id(), JobState.DONE, "all-tasks-done");
            }
        }
        return true;
    }

    /** Moves a job from QUEUED to RUNNING when the first run of one of its tasks has started. */
    public static void markRunning(SchedulerTick tick, String id) {
        SchedulerWorld world = tick.world();
        JobRow job = world.jobs().find(id).orElse(null);
        if (job != null && job.state() == JobState.QUEUED) {
            world.jobs().put(id, job.withState(JobState.RUNNING, 0).withChange(tick.nowMs()));
            tick.emit(new SchedulerOutput.Measure("job.wait", tick.nowMs() - job.arrivedMs()));
        }
    }

    /**
     * Moves a job to a final state, removes its steps and tasks, and stops its runs. Does nothing
     * if the job is unknown or already final.
     *
     * @param state the final state
     * @param reason why, for the log
     */
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

    /** Returns the steps of a job that have been activated, of all occurrences, also those done. */
    public static List<StepRow> activatedSteps(SchedulerWorld world, JobRow job) {
        List<StepRow> found = new ArrayList<>();
        for (int occurrence = 0; occurrence < job.spec().occurrences(); occurrence++) {
            for (int i = 0; i < job.spec().steps().size(); i++) {
                world.steps().find(new StepKey(job.id(), occurrence, i)).ifPresent(found::add);
            }
        }
        return found;
    }

    /** Returns whether a run is one of a service, which runs until its job is cancelled. */
    public static boolean isService(SchedulerWorld world, RunRow run) {
        return findSpec(world, run.task().stepKey()).filter(StepSpec::service).isPresent();
    }

    /** Returns the specification of a step; empty if its job is unknown or lacks the step. */
    public static Optional<StepSpec> findSpec(SchedulerWorld world, StepKey key) {
        return world.jobs()
                .find(key.jobId())
                .filter(job -> isPartOf(job, key))
                .map(job -> job.spec().steps().get(key.step()));
    }
}
