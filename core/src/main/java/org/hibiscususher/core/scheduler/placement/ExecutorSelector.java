package org.hibiscususher.core.scheduler.placement;

import java.util.Optional;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TaskRow;

/** Chooses the executor for a task. */
final class ExecutorSelector {
    private ExecutorSelector() {}

    /**
     * Returns the executor on which a task runs best, or empty if it fits on none.
     *
     * <p>The rack that the task's data lies on comes first; an executor on which the task failed
     * comes last; then the one with the most free processor time for tasks that serve, the least
     * for others, so that room for wide tasks stays.
     */
    static Optional<ExecutorRow> select(
            SchedulerTick tick, FreeCapacity room, TaskRow task, StepSpec spec) {
        ExecutorRow best = null;
        long bestRank = Long.MAX_VALUE;
        for (ExecutorRow row : room.executors()) {
            Resources free = room.free(row.id());
            if (spec.reserved().fitsIn(free) && isAllowed(tick, row, task, spec)) {
                long rank = rank(row, task, spec, free, room.runCount(row.id()));
                if (rank < bestRank) {
                    best = row;
                    bestRank = rank;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean isAllowed(
            SchedulerTick tick, ExecutorRow row, TaskRow task, StepSpec spec) {
        String label = spec.requiredLabel();
        if (!label.isEmpty() && !row.report().labels().contains(label)) {
            return false;
        }
        StepKey step = task.key().stepKey();
        SchedulerWorld world = tick.world();
        boolean advised =
                world.jobs()
                        .find(step.jobId())
                        .filter(j -> j.policy().needsPlacementToken())
                        .isPresent();
        if (advised && AdviceSystem.placementToken(tick, step, row.id()).isEmpty()) {
            return false;
        }
        if (spec.maxPerExecutor() <= 0) {
            return true;
        }
        long there =
                world.runs().group(row.id()).stream()
                        .filter(r -> r.task().stepKey().equals(step))
                        .count();
        return there < spec.maxPerExecutor();
    }

    private static long rank(
            ExecutorRow row, TaskRow task, StepSpec spec, Resources free, int runs) {
        long rank = 0;
        if (row.id().equals(task.lastFailedExecutor())) {
            rank += 4_000_000_000L;
        }
        if (!spec.dataRack().isEmpty() && !row.report().labels().contains(spec.dataRack())) {
            rank += 2_000_000_000L;
        }
        if (spec.bestEffortCpu()) {
            return rank + runs;
        }
        return rank + free.cpuMillis() + 1_000_000_000L;
    }
}
