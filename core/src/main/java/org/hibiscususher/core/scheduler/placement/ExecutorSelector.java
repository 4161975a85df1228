package org.hibiscususher.core.scheduler.placement;

import java.util.Optional;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TaskRow;

/** Selects the executor for a task. */
final class ExecutorSelector {
    /** Added to the cost of the executor on which the task failed last; outweighs all else. */
    private static final long FAILED_EXECUTOR_COST = 4_000_000_000L;

    /** Added to the cost of executors on another rack than the task's data. */
    private static final long OTHER_RACK_COST = 2_000_000_000L;

    /** Added for tasks that reserve processor time; the same for all executors of a selection. */
    private static final long RESERVED_CPU_COST = 1_000_000_000L;

    private ExecutorSelector() {}

    /**
     * Returns the executor with the lowest cost for a task, or empty if the task fits on none.
     *
     * <p>Executors on the rack of the task's data are preferred, and the one on which the task
     * failed last is the last choice. Among equals, a best-effort task gets the executor with the
     * fewest runs; any other task gets the one with the least free processor time, so that large
     * free shares remain for tasks that need many cores.
     *
     * @param capacity free capacity of the task's pool
     * @param spec the step of the task
     */
    static Optional<ExecutorRow> select(
            SchedulerTick tick, FreeCapacity capacity, TaskRow task, StepSpec spec) {
        ExecutorRow best = null;
        long lowestCost = Long.MAX_VALUE;
        for (ExecutorRow row : capacity.executors()) {
            Resources free = capacity.free(row.id());
            if (spec.reserved().fitsIn(free) && isAllowed(tick, row, task, spec)) {
                long cost = cost(row, task, spec, free, capacity.runCount(row.id()));
                if (cost < lowestCost) {
                    best = row;
                    lowestCost = cost;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns whether label, placement token, the limit per executor and an unanswered start order
     * of the task permit a run.
     */
    private static boolean isAllowed(
            SchedulerTick tick, ExecutorRow row, TaskRow task, StepSpec spec) {
        if (!UncertainStarts.mayStartOn(tick.world(), task.key(), row.id())) {
            return false;
        }
        String label = spec.requiredLabel();
        if (!label.isEmpty() && !row.report().labels().contains(label)) {
            return false;
        }
        StepKey step = task.key().stepKey();
        SchedulerWorld world = tick.world();
        boolean needsToken =
                world.jobs()
                        .find(step.jobId())
                        .filter(j -> j.policy().needsPlacementToken())
                        .isPresent();
        if (needsToken && AdviceSystem.placementToken(tick, step, row.id()).isEmpty()) {
            return false;
        }
        if (spec.maxPerExecutor() <= 0) {
            return true;
        }
        long runsOfStep =
                world.runs().group(row.id()).stream()
                        .filter(r -> r.task().stepKey().equals(step))
                        .count();
        return runsOfStep < spec.maxPerExecutor();
    }

    private static long cost(
            ExecutorRow row, TaskRow task, StepSpec spec, Resources free, int runCount) {
        long cost = 0;
        if (row.id().equals(task.lastFailedExecutor())) {
            cost += FAILED_EXECUTOR_COST;
        }
        if (!spec.dataRack().isEmpty() && !row.report().labels().contains(spec.dataRack())) {
            cost += OTHER_RACK_COST;
        }
        if (spec.bestEffortCpu()) {
            return cost + runCount;
        }
        return cost + free.cpuMillis() + RESERVED_CPU_COST;
    }
}
