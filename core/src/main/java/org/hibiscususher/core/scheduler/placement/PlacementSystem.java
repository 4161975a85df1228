package org.hibiscususher.core.scheduler.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunStage;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StopReason;
import org.hibiscususher.core.scheduler.world.TaskGroup;
import org.hibiscususher.core.scheduler.world.TaskRow;
import org.hibiscususher.core.scheduler.world.TaskState;

/** Starts waiting tasks where there is room. */
public final class PlacementSystem {
    private PlacementSystem() {}

    /** Runs over the pools that have waiting tasks. */
    public static void run(SchedulerTick tick) {
        recordExecutors(tick);
        if (!Authority.mayStartRuns(tick)) {
            return;
        }
        Map<String, Resources> teams = teamUse(tick.world());
        for (TaskGroup group : List.copyOf(tick.world().tasks().groups())) {
            if (group.state() == TaskState.WAITING) {
                place(tick, group, teams);
            }
        }
    }

    /** Has the store name the executors in use, before anything runs on them. */
    private static void recordExecutors(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        if (!world.term().get().isScheduling()) {
            return;
        }
        List<UsedExecutor> used = new ArrayList<>();
        for (ExecutorRow row : world.executors().rows()) {
            used.add(new UsedExecutor(row.id(), row.pool()));
        }
        StoredRecord.Executors record = new StoredRecord.Executors(used);
        boolean same = record.equals(world.usedExecutors().get());
        if (!same && !world.pendingRecords().contains(RecordName.EXECUTORS)) {
            world.usedExecutors().set(record);
            world.pendingRecords().put(RecordName.EXECUTORS, record);
        }
    }

    private static Map<String, Resources> teamUse(SchedulerWorld world) {
        Map<String, Resources> use = new HashMap<>();
        for (RunRow run : world.runs().rows()) {
            use.merge(run.team(), run.demand(), Resources::plus);
        }
        return use;
    }

    private static void place(SchedulerTick tick, TaskGroup group, Map<String, Resources> teams) {
        SchedulerWorld world = tick.world();
        FreeCapacity room = FreeCapacity.of(tick, group.pool());
        if (room.isEmpty()) {
            return;
        }
        Map<StartPriority, List<TaskRow>> waiting = new TreeMap<>();
        Map<String, StartPriority> orders = new HashMap<>();
        for (TaskRow task : world.tasks().group(group)) {
            JobRow job = world.jobs().find(task.key().jobId()).orElse(null);
            if (job != null && !task.uncertain() && task.notBeforeMs() <= tick.nowMs()) {
                StartPriority order =
                        orders.computeIfAbsent(
                                job.id(), id -> StartPriority.of(world, job, tick.nowMs()));
                waiting.computeIfAbsent(order, o -> new ArrayList<>()).add(task);
            }
        }
        Set<StepKey> over = new HashSet<>();
        for (List<TaskRow> tasks : waiting.values()) {
            for (TaskRow task : tasks) {
                StepKey step = task.key().stepKey();
                if (!over.contains(step) && !placeOne(tick, room, teams, task)) {
                    over.add(step);
                }
            }
        }
    }

    /** Starts a task, or its gang; returns whether other tasks of its step may start as well. */
    private static boolean placeOne(
            SchedulerTick tick, FreeCapacity room, Map<String, Resources> teams, TaskRow task) {
        StepKey step = task.key().stepKey();
        StepSpec spec = JobLifecycle.findSpec(tick.world(), step).orElseThrow();
        if (spec.gang()) {
            startGang(tick, room, teams, step, spec);
            return false;
        }
        return start(tick, room, teams, task, spec);
    }

    private static boolean start(
            SchedulerTick tick,
            FreeCapacity room,
            Map<String, Resources> teams,
            TaskRow task,
            StepSpec spec) {
        SchedulerWorld world = tick.world();
        JobRow job = world.jobs().find(task.key().jobId()).orElseThrow();
        Resources use = teams.getOrDefault(job.team(), Resources.NONE).plus(spec.demand());
        if (!use.staysWithin(limit(world, job.team()))) {
            return false;
        }
        if (!room.mayFit(spec.reserved())) {
            return false;
        }
        Optional<ExecutorRow> executor = ExecutorSelector.select(tick, room, task, spec);
        if (executor.isEmpty()) {
            return false;
        }
        room.reserve(executor.get().id(), spec.reserved());
        teams.put(job.team(), use);
        order(tick, job, task, spec, executor.get(), RunLifecycle.nextRunNumber(world, task));
        return true;
    }

    private static Resources limit(SchedulerWorld world, String team) {
        return world.configuration()
                .get()
                .configuration()
                .team(team)
                .map(JobTeam::limit)
                .orElse(Resources.NONE);
    }

    /** Starts all members of a gang or none. */
    private static void startGang(
            SchedulerTick tick,
            FreeCapacity room,
            Map<String, Resources> teams,
            StepKey step,
            StepSpec spec) {
        SchedulerWorld world = tick.world();
        JobRow job = world.jobs().find(step.jobId()).orElseThrow();
        Resources use =
                teams.getOrDefault(job.team(), Resources.NONE)
                        .plus(spec.demand().times(spec.count()));
        if (!use.staysWithin(limit(world, job.team()))) {
            return;
        }
        List<TaskRow> members = new ArrayList<>();
        int run = 0;
        for (int i = 0; i < spec.count(); i++) {
            TaskRow task = world.tasks().find(step.task(i)).orElse(null);
            if (task == null || task.state() != TaskState.WAITING || task.uncertain()) {
                return;
            }
            members.add(task);
            run = Math.max(run, RunLifecycle.nextRunNumber(world, task));
        }
        List<ExecutorRow> sites = new ArrayList<>();
        for (TaskRow task : members) {
            Optional<ExecutorRow> site = ExecutorSelector.select(tick, room, task, spec);
            if (site.isEmpty()) {
                sites.forEach(s -> room.reserve(s.id(), Resources.NONE.minus(spec.reserved())));
                return;
            }
            room.reserve(site.get().id(), spec.reserved());
            sites.add(site.get());
        }
        teams.put(job.team(), use);
        for (int i = 0; i < members.size(); i++) {
            order(tick, job, members.get(i), spec, sites.get(i), run);
        }
    }

    private static void order(
            SchedulerTick tick,
            JobRow job,
            TaskRow task,
            StepSpec spec,
            ExecutorRow executor,
            int number) {
        SchedulerWorld world = tick.world();
        ExecutorSessionRow contact = world.executorSessions().find(executor.id()).orElseThrow();
        long fence = world.term().get().fence();
        long callId = tick.nextCallId();
        long deadlineMs =
                contact.executorClockAt(tick.nowMs()) + world.settings().timing().startValidMs();
        world.executorSessions()
                .put(
                        executor.id(),
                        contact.withLeaseExtendedTo(
                                HeartbeatSystem.leaseEndMs(contact, deadlineMs)));
        world.tasks().put(task.key(), task.asActive(number));
        RunRow run =
                new RunRow(
                        task.key(),
                        number,
                        executor.id(),
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
                        tick.nowMs());
        world.runs().put(task.key(), run);
        tick.log(
                "start",
                RunLifecycle.describe(run)
                        + " fence="
                        + fence
                        + " waited_ms="
                        + (tick.nowMs() - task.readySinceMs())
                        + " executor_age_ms="
                        + (tick.nowMs() - contact.lastAnswerMs())
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
                        number,
                        job.spec().payload(),
                        task.checkpoint(),
                        AdviceSystem.placementToken(tick, task.key().stepKey(), executor.id())
                                .orElse(""),
                        deadlineMs));
    }
}
