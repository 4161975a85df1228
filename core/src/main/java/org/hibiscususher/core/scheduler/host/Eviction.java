package org.hibiscususher.core.scheduler.host;

import java.util.List;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.executor.RunLifecycle;
import org.hibiscususher.core.scheduler.executor.StepAvailability;
import org.hibiscususher.core.scheduler.job.JobLifecycle;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunStage;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StopReason;

/**
 * Empties the executor of a host that is about to go out of service.
 *
 * <p>Runs that end by themselves get some time to finish. Service tasks are stopped, but never more
 * of a step at a time than may be unavailable: stopping all of them at once would interrupt the
 * service that they provide.
 */
final class Eviction {
    /** Time that runs get to finish by themselves, in milliseconds. */
    private static final long MAX_WAIT_MS = 2_500;

    private Eviction() {}

    /**
     * Orders the runs to stop that may be stopped now.
     *
     * @param sinceMs when the eviction began, on the steady clock
     * @return whether the executor certainly has no runs any more
     */
    static boolean evict(SchedulerTick tick, String executor, long sinceMs) {
        SchedulerWorld world = tick.world();
        if (!areRunsKnown(world, executor)) {
            return false;
        }
        boolean overdue = tick.nowMs() - sinceMs > MAX_WAIT_MS;
        for (RunRow run : List.copyOf(world.runs().group(executor))) {
            StepSpec spec = JobLifecycle.findSpec(world, run.task().stepKey()).orElse(null);
            if (run.stage() != RunStage.RUNNING || spec == null) {
                continue;
            }
            boolean allowed =
                    spec.service()
                            ? StepAvailability.mayBecomeUnavailable(tick, run, spec)
                            : overdue;
            if (allowed) {
                RunLifecycle.requestStop(tick, run, StopReason.EVICTED);
            }
        }
        return world.runs().group(executor).isEmpty();
    }

    /**
     * Returns whether the runs of an executor are known to this owner: it has responded to a
     * heartbeat, or it does not exist.
     */
    static boolean areRunsKnown(SchedulerWorld world, String executor) {
        return !world.executors().contains(executor)
                || world.executorSessions()
                        .find(executor)
                        .filter(s -> s.lastAnswerMs() != 0)
                        .isPresent();
    }
}
