package org.hibiscususher.core.scheduler.executor;

import java.util.List;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.ExecutorSessionRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TaskGroup;
import org.hibiscususher.core.scheduler.world.TaskRow;
import org.hibiscususher.core.scheduler.world.TaskState;

/**
 * Frees tasks that an executor out of reach may run for an earlier owner.
 *
 * <p>A pool is clear once each executor that the earlier owner used has told what it runs, or what
 * it runs has surely ended.
 */
public final class UncertainTaskSystem {
    private UncertainTaskSystem() {}

    /** Runs over the pools that have doubtful tasks. */
    public static void run(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        if (!world.term().get().isScheduling()) {
            return;
        }
        for (TaskGroup group : List.copyOf(world.tasks().groups())) {
            if (group.state() == TaskState.WAITING && isClear(tick, group.pool())) {
                for (TaskRow task : List.copyOf(world.tasks().group(group))) {
                    if (task.uncertain()) {
                        world.tasks().put(task.key(), task.asCertain());
                    }
                }
            }
        }
    }

    private static boolean isClear(SchedulerTick tick, String pool) {
        SchedulerWorld world = tick.world();
        for (ExecutorRow row : world.executors().group(pool)) {
            long untilMs =
                    world.executorSessions()
                            .find(row.id())
                            .map(ExecutorSessionRow::leaseEndMs)
                            .orElse(0L);
            if (row.inherited() && tick.nowMs() <= untilMs) {
                return false;
            }
        }
        return true;
    }
}
