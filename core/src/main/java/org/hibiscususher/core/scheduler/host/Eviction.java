package org.hibiscususher.core.scheduler.host;

import java.util.List;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.job.TaskKey;
import org.hibiscususher.core.scheduler.executor.RunLifecycle;
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

    /** Age up to which a heartbeat response shows that tasks are available, in milliseconds. */
    private static final long MAX_RESPONSE_AGE_MS = 1_500;

    private static final int FULL_PERCENT = 100;

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
            boolean allowed = spec.service() ? mayBecomeUnavailable(tick, run, spec) : overdue;
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

    /** Returns whether the limit of a step lets one more of its tasks become unavailable. */
    private static boolean mayBecomeUnavailable(SchedulerTick tick, RunRow run, StepSpec spec) {
        if (spec.maxUnavailable() <= 0) {
            return true;
        }
        int unavailable = 0;
        StepKey step = run.task().stepKey();
        for (int i = 0; i < spec.count(); i++) {
            if (i != run.task().index() && !isAvailable(tick, step.task(i))) {
                unavailable++;
            }
        }
        return unavailable < spec.maxUnavailable();
    }

    /** Returns whether a task is fully available, by a recent response of its executor. */
    private static boolean isAvailable(SchedulerTick tick, TaskKey task) {
        RunRow run = tick.world().runs().find(task).orElse(null);
        if (run == null
                || run.stage() != RunStage.RUNNING
                || run.progressPercent() < FULL_PERCENT) {
            return false;
        }
        return tick.world()
                .executorSessions()
                .find(run.executor())
                .filter(
                        s ->
                                s.consecutiveFailures() == 0
                                        && tick.nowMs() - s.lastAnswerMs() < MAX_RESPONSE_AGE_MS)
                .isPresent();
    }
}
