package org.hibiscususher.core.scheduler.executor;

import java.util.List;
import org.hibiscususher.core.scheduler.term.Authority;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.ExecutorSessionRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TaskGroup;
import org.hibiscususher.core.scheduler.world.TaskRow;
import org.hibiscususher.core.scheduler.world.TaskState;

/**
 * Lets tasks start again that an unreachable executor may still run for an earlier owner.
 *
 * <p>A new owner does not know what its predecessor started on executors that have not responded
 * yet, so starting a task at once could run it twice. The tasks of a pool stay uncertain until each
 * executor that the predecessor used has reported its runs or its lease has certainly expired.
 */
public final class UncertainTaskSystem {
    private UncertainTaskSystem() {}

    /** Marks the waiting tasks of each pool as certain once nothing unknown can run there. */
    public static void run(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        if (!world.term().get().isScheduling()) {
            return;
        }
        for (TaskGroup group : uncertainGroups(world)) {
            if (isResolved(tick, group.pool())) {
                for (TaskRow task : List.copyOf(world.tasks().group(group))) {
                    world.tasks().put(task.key(), task.asCertain());
                }
            }
        }
    }

    private static List<TaskGroup> uncertainGroups(SchedulerWorld world) {
        return world.tasks().groups().stream()
                .filter(group -> group.uncertain() && group.state() == TaskState.WAITING)
                .toList();
    }

    /** Returns whether no executor of a pool can still run something for an earlier owner. */
    private static boolean isResolved(SchedulerTick tick, String pool) {
        SchedulerWorld world = tick.world();
        for (ExecutorRow row : world.executors().group(pool)) {
            long leaseEndMs =
                    world.executorSessions()
                            .find(row.id())
                            .map(ExecutorSessionRow::leaseEndMs)
                            .orElse(0L);
            boolean expired = tick.nowMs() > leaseEndMs && Authority.mayPresumeLeasesExpired(tick);
            if (row.inherited() && !expired) {
                return false;
            }
        }
        return true;
    }
}
