package org.hibiscususher.core.scheduler.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.job.JobLifecycle;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TaskRow;

/**
 * Room on the executors of a pool that the tasks already waiting leave. Not thread-safe; valid
 * within one tick.
 */
public final class PoolRoom {
    /**
     * Number of waiting tasks above which the pool counts as full. It bounds the time of a
     * decision, and a pool with so many has no room that lasts.
     */
    private static final int MAX_WAITING = 100;

    private final SchedulerTick mTick;
    private final FreeCapacity mCapacity;
    private final boolean mFull;

    private PoolRoom(SchedulerTick tick, FreeCapacity capacity, boolean full) {
        mTick = tick;
        mCapacity = capacity;
        mFull = full;
    }

    /** Returns the room in a pool. */
    public static PoolRoom of(SchedulerTick tick, String pool) {
        SchedulerWorld world = tick.world();
        List<TaskRow> waiting = new ArrayList<>();
        world.waitingGroups(pool).forEach(group -> waiting.addAll(world.tasks().group(group)));
        boolean full = waiting.size() > MAX_WAITING;
        PoolRoom room = new PoolRoom(tick, FreeCapacity.of(tick, pool), full);
        if (!full) {
            waiting.forEach(room::reserveFor);
        }
        return room;
    }

    /** Reserves room for a run of a task, if there is any; returns whether there was. */
    public boolean reserveFor(TaskRow task) {
        StepSpec spec = JobLifecycle.findSpec(mTick.world(), task.key().stepKey()).orElse(null);
        if (mFull || spec == null || !mCapacity.mayFit(spec.reserved())) {
            return false;
        }
        Optional<ExecutorRow> executor = ExecutorSelector.select(mTick, mCapacity, task, spec);
        executor.ifPresent(row -> mCapacity.reserve(row.id(), spec.reserved()));
        return executor.isPresent();
    }
}
