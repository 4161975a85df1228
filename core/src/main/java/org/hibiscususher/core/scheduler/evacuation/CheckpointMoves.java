package org.hibiscususher.core.scheduler.evacuation;

import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.job.TaskKey;
import org.hibiscususher.core.scheduler.executor.RunLifecycle;
import org.hibiscususher.core.scheduler.executor.StepAvailability;
import org.hibiscususher.core.scheduler.job.JobLifecycle;
import org.hibiscususher.core.scheduler.placement.PoolRoom;
import org.hibiscususher.core.scheduler.term.Authority;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunStage;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StopReason;
import org.hibiscususher.core.scheduler.world.TaskRow;
import org.hibiscususher.core.scheduler.world.TaskState;
import org.hibiscususher.core.scheduler.world.ZoneEvacuationRow;

/**
 * Stops tasks in evacuated zones that can continue elsewhere from a saved checkpoint.
 *
 * <p>A task is stopped only if an executor outside the zone has room for it beside the tasks that
 * wait already, and within the limit of unavailable tasks of its step. Other runs go on to their
 * end. The tasks of a gang run together or not at all, so they are never stopped one by one.
 */
final class CheckpointMoves {
    /** Time between two decisions on the moves out of a zone, in milliseconds. */
    static final long DECISION_INTERVAL_MS = 100;

    private CheckpointMoves() {}

    /** Stops the tasks that may continue elsewhere now. */
    static void run(SchedulerTick tick) {
        if (tick.world().zoneEvacuations().size() == 0 || !Authority.mayStartRuns(tick)) {
            return;
        }
        for (ZoneEvacuationRow row : tick.world().zoneEvacuations().rows()) {
            boolean due = tick.nowMs() - row.movesDecidedMs() >= DECISION_INTERVAL_MS;
            if (row.isEvacuated() && due) {
                tick.world().zoneEvacuations().put(row.zone(), row.withMovesDecided(tick.nowMs()));
                moveRunsOf(tick, row.zone());
            }
        }
    }

    private static void moveRunsOf(SchedulerTick tick, String zone) {
        SchedulerWorld world = tick.world();
        for (String pool : List.copyOf(world.executors().groups())) {
            List<RunRow> movable = new ArrayList<>();
            for (ExecutorRow row : world.executors().group(pool)) {
                if (ZoneEvacuations.zoneOf(world, row).equals(zone)) {
                    addMovable(world, row, movable);
                }
            }
            if (!movable.isEmpty()) {
                PoolRoom room = roomBesideMoves(tick, pool);
                movable.forEach(run -> moveIfPossible(tick, room, run));
            }
        }
    }

    private static void addMovable(SchedulerWorld world, ExecutorRow row, List<RunRow> movable) {
        for (RunRow run : world.runs().group(row.id())) {
            StepSpec spec = JobLifecycle.findSpec(world, run.task().stepKey()).orElse(null);
            if (spec != null
                    && spec.savesCheckpoints()
                    && !spec.gang()
                    && run.stage() == RunStage.RUNNING
                    && !run.checkpoint().isEmpty()) {
                movable.add(run);
            }
        }
    }

    /** Returns the room in a pool beside the tasks that wait and those that are on the move. */
    private static PoolRoom roomBesideMoves(SchedulerTick tick, String pool) {
        SchedulerWorld world = tick.world();
        PoolRoom room = PoolRoom.of(tick, pool);
        for (ExecutorRow row : world.executors().group(pool)) {
            for (RunRow run : world.runs().group(row.id())) {
                if (run.stage() == RunStage.STOPPING && run.reason() == StopReason.EVICTED) {
                    world.tasks().find(run.task()).ifPresent(room::reserveFor);
                }
            }
        }
        return room;
    }

    private static void moveIfPossible(SchedulerTick tick, PoolRoom room, RunRow run) {
        SchedulerWorld world = tick.world();
        StepSpec spec = JobLifecycle.findSpec(world, run.task().stepKey()).orElseThrow();
        TaskRow task = world.tasks().find(run.task()).orElse(null);
        if (task != null
                && (spec.maxPerExecutor() <= 0 || isStepAtRest(world, run, spec))
                && StepAvailability.mayBecomeUnavailable(tick, run, spec)
                && room.reserveFor(task)) {
            RunLifecycle.requestStop(tick, run, StopReason.EVICTED);
            tick.count("zone-evacuated.moved");
        }
    }

    /**
     * Returns whether no task of a step waits or stops. A limit of tasks per executor counts runs
     * alone, so that the next task can be placed only once the one before it has a run again.
     */
    private static boolean isStepAtRest(SchedulerWorld world, RunRow run, StepSpec spec) {
        for (int i = 0; i < spec.count(); i++) {
            TaskKey key = run.task().stepKey().task(i);
            boolean waits =
                    world.tasks().find(key).filter(t -> t.state() == TaskState.WAITING).isPresent();
            boolean stops =
                    world.runs().find(key).filter(r -> r.stage() == RunStage.STOPPING).isPresent();
            if (waits || stops) {
                return false;
            }
        }
        return true;
    }
}
