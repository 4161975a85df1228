package org.hibiscususher.core.scheduler.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.hibiscususher.core.job.JobTeam;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.executor.HeartbeatSystem;
import org.hibiscususher.core.scheduler.executor.RunLifecycle;
import org.hibiscususher.core.scheduler.job.JobLifecycle;
import org.hibiscususher.core.scheduler.message.RecordName;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.StartRun;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.message.UsedExecutor;
import org.hibiscususher.core.scheduler.term.Authority;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.ExecutorSessionRow;
import org.hibiscususher.core.scheduler.world.FirstReport;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunStage;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StopReason;
import org.hibiscususher.core.scheduler.world.TaskGroup;
import org.hibiscususher.core.scheduler.world.TaskRow;
import org.hibiscususher.core.scheduler.world.TaskState;

/** Starts waiting tasks on executors that have enough free capacity, within the limits of teams. */
public final class PlacementSystem {
    private PlacementSystem() {}

    /** Records the executors in use, then places the waiting tasks of each pool. */
    public static void run(SchedulerTick tick) {
        recordExecutors(tick);
        if (!Authority.mayStartRuns(tick)) {
            return;
        }
        Map<String, Resources> teamUsage = usageByTeam(tick.world());
        waitingGroupsByPool(tick.world())
                .forEach((pool, groups) -> placeTasks(tick, pool, groups, teamUsage));
    }

    /** Returns the groups of the waiting tasks that may start, by pool. */
    private static Map<String, List<TaskGroup>> waitingGroupsByPool(SchedulerWorld world) {
        Map<String, List<TaskGroup>> byPool = new LinkedHashMap<>();
        for (TaskGroup group : world.tasks().groups()) {
            if (group.state() == TaskState.WAITING && !group.uncertain()) {
                byPool.computeIfAbsent(group.pool(), p -> new ArrayList<>()).add(group);
            }
        }
        return byPool;
    }

    /**
     * Queues a record of the executors in use when they have changed. An executor gets runs only
     * once the store names it, so that the next owner knows every executor that may still be
     * running tasks.
     */
    private static void recordExecutors(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        if (!world.term().get().isScheduling()) {
            return;
        }
        List<UsedExecutor> executors = new ArrayList<>();
        for (ExecutorRow row : world.executors().rows()) {
            executors.add(new UsedExecutor(row.id(), row.pool()));
        }
        StoredRecord.Executors record = new StoredRecord.Executors(executors);
        boolean same = record.equals(world.usedExecutors().get());
        if (!same && !world.pendingRecords().contains(RecordName.EXECUTORS)) {
            world.usedExecutors().set(record);
            world.pendingRecords().put(RecordName.EXECUTORS, record);
        }
    }

    /** Returns the demand of all runs, by team. */
    private static Map<String, Resources> usageByTeam(SchedulerWorld world) {
        Map<String, Resources> usage = new HashMap<>();
        for (RunRow run : world.runs().rows()) {
            usage.merge(run.team(), run.demand(), Resources::plus);
        }
        return usage;
    }

    /** Places the waiting tasks of a pool in the order of their priority. */
    private static void placeTasks(
            SchedulerTick tick,
            String pool,
            List<TaskGroup> groups,
            Map<String, Resources> teamUsage) {
        SchedulerWorld world = tick.world();
        FreeCapacity capacity = FreeCapacity.of(tick, pool);
        List<TaskGroup> fitting =
                groups.stream().filter(group -> mayFit(world, capacity, group)).toList();
        if (capacity.isEmpty() || fitting.isEmpty()) {
            return;
        }
        TeamShares shares = TeamShares.of(world, pool);
        Map<StartPriority, List<TaskGroup>> waiting = new TreeMap<>();
        for (TaskGroup group : fitting) {
            JobRow job = world.jobs().find(group.step().jobId()).orElseThrow();
            StartPriority priority = StartPriority.of(world, job, shares, tick.nowMs());
            waiting.computeIfAbsent(priority, p -> new ArrayList<>()).add(group);
        }
        waiting.values()
                .forEach(steps -> steps.forEach(s -> placeStep(tick, capacity, teamUsage, s)));
    }

    /**
     * Returns whether a task of a group fits on some executor. In a full pool this spares the
     * decision on the order of all that waits.
     */
    private static boolean mayFit(SchedulerWorld world, FreeCapacity capacity, TaskGroup group) {
        return JobLifecycle.findSpec(world, group.step())
                .filter(spec -> capacity.mayFit(spec.reserved()))
                .isPresent();
    }

    /**
     * Places the waiting tasks of a step. Once a task can't be placed, the others are skipped,
     * since they have the same demand.
     */
    private static void placeStep(
            SchedulerTick tick,
            FreeCapacity capacity,
            Map<String, Resources> teamUsage,
            TaskGroup group) {
        for (TaskRow task : List.copyOf(tick.world().tasks().group(group))) {
            boolean due = task.notBeforeMs() <= tick.nowMs();
            if (due && !placeTaskOrGang(tick, capacity, teamUsage, task)) {
                return;
            }
        }
    }

    /**
     * Starts a task, or its whole gang; returns whether further tasks of its step may be placed.
     */
    private static boolean placeTaskOrGang(
            SchedulerTick tick,
            FreeCapacity capacity,
            Map<String, Resources> teamUsage,
            TaskRow task) {
        StepKey step = task.key().stepKey();
        StepSpec spec = JobLifecycle.findSpec(tick.world(), step).orElseThrow();
        if (spec.gang()) {
            placeGang(tick, capacity, teamUsage, step, spec);
            return false;
        }
        return placeTask(tick, capacity, teamUsage, task, spec);
    }

    /** Starts a task if its team's limit and the capacity allow it; returns whether it did. */
    private static boolean placeTask(
            SchedulerTick tick,
            FreeCapacity capacity,
            Map<String, Resources> teamUsage,
            TaskRow task,
            StepSpec spec) {
        SchedulerWorld world = tick.world();
        JobRow job = world.jobs().find(task.key().jobId()).orElseThrow();
        Resources usage = teamUsage.getOrDefault(job.team(), Resources.NONE).plus(spec.demand());
        if (!usage.staysWithin(teamLimit(world, job.team()))) {
            return false;
        }
        if (!capacity.mayFit(spec.reserved())) {
            return false;
        }
        Optional<ExecutorRow> executor = ExecutorSelector.select(tick, capacity, task, spec);
        if (executor.isEmpty()) {
            return false;
        }
        capacity.reserve(executor.get().id(), spec.reserved());
        teamUsage.put(job.team(), usage);
        sendStart(tick, job, task, spec, executor.get(), RunLifecycle.nextRunNumber(world, task));
        return true;
    }

    private static Resources teamLimit(SchedulerWorld world, String team) {
        return world.configuration()
                .get()
                .configuration()
                .team(team)
                .map(JobTeam::limit)
                .orElse(Resources.NONE);
    }

    /** Starts all tasks of a gang in one tick, or none of them if they don't all fit. */
    private static void placeGang(
            SchedulerTick tick,
            FreeCapacity capacity,
            Map<String, Resources> teamUsage,
            StepKey step,
            StepSpec spec) {
        SchedulerWorld world = tick.world();
        JobRow job = world.jobs().find(step.jobId()).orElseThrow();
        Resources usage =
                teamUsage
                        .getOrDefault(job.team(), Resources.NONE)
                        .plus(spec.demand().times(spec.count()));
        if (!usage.staysWithin(teamLimit(world, job.team()))) {
            return;
        }
        List<TaskRow> members = new ArrayList<>();
        int runNumber = 0;
        for (int i = 0; i < spec.count(); i++) {
            TaskRow task = world.tasks().find(step.task(i)).orElse(null);
            if (task == null || task.state() != TaskState.WAITING || task.uncertain()) {
                return;
            }
            members.add(task);
            runNumber = Math.max(runNumber, RunLifecycle.nextRunNumber(world, task));
        }
        List<ExecutorRow> selected = new ArrayList<>();
        for (TaskRow task : members) {
            Optional<ExecutorRow> executor = ExecutorSelector.select(tick, capacity, task, spec);
            if (executor.isEmpty()) {
                selected.forEach(
                        e -> capacity.reserve(e.id(), Resources.NONE.minus(spec.reserved())));
                return;
            }
            capacity.reserve(executor.get().id(), spec.reserved());
            selected.add(executor.get());
        }
        teamUsage.put(job.team(), usage);
        for (int i = 0; i < members.size(); i++) {
            sendStart(tick, job, members.get(i), spec, selected.get(i), runNumber);
        }
    }

    /** Returns the row of a run whose order to start is being sent. */
    private static RunRow newRun(
            SchedulerTick tick,
            JobRow job,
            TaskRow task,
            StepSpec spec,
            String executor,
            int runNumber,
            long callId) {
        return new RunRow(
                task.key(),
                runNumber,
                executor,
                job.team(),
                spec.demand(),
                spec.reserved(),
                RunStage.SENT,
                StopReason.NONE,
                callId,
                tick.nowMs(),
                0,
                task.checkpoint(),
                0,
                -1,
                100,
                tick.nowMs(),
                FirstReport.NONE);
    }

    /** Sends the order to start a run, and adds the run to the tables. */
    private static void sendStart(
            SchedulerTick tick,
            JobRow job,
            TaskRow task,
            StepSpec spec,
            ExecutorRow executor,
            int runNumber) {
        SchedulerWorld world = tick.world();
        ExecutorSessionRow session = world.executorSessions().find(executor.id()).orElseThrow();
        long fence = world.term().get().fence();
        long callId = tick.nextCallId();
        // The executor may start the run until this time on its own clock, so it counts as holding
        // a lease until then.
        long deadlineMs =
                session.executorClockAt(tick.nowMs()) + world.settings().timing().startValidMs();
        world.executorSessions()
                .put(
                        executor.id(),
                        session.withLeaseExtendedTo(
                                HeartbeatSystem.leaseEndMs(session, deadlineMs)));
        world.tasks().put(task.key(), task.asActive(runNumber));
        RunRow run = newRun(tick, job, task, spec, executor.id(), runNumber, callId);
        world.runs().put(task.key(), run);
        tick.log(
                "start",
                RunLifecycle.describe(run)
                        + " fence="
                        + fence
                        + " waited_ms="
                        + (tick.nowMs() - task.readySinceMs())
                        + " executor_age_ms="
                        + (tick.nowMs() - session.lastAnswerMs())
                        + " plan="
                        + world.configuration().get().configuration().version());
        tick.count("start");
        tick.emit(
                new StartRun(
                        callId,
                        executor.id(),
                        executor.report().address(),
                        fence,
                        task.key(),
                        runNumber,
                        job.spec().payload(),
                        task.checkpoint(),
                        AdviceSystem.placementToken(tick, task.key().stepKey(), executor.id())
                                .orElse(""),
                        deadlineMs,
                        Authority.startValidity(tick)));
    }
}
