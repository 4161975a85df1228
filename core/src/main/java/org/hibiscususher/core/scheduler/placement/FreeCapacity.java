package org.hibiscususher.core.scheduler.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.scheduler.evacuation.ZoneEvacuations;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.ExecutorSessionRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;

/**
 * Free capacity of the executors of a pool that accept runs, kept up to date while runs are placed
 * within a tick. Not thread-safe.
 */
final class FreeCapacity {
    private final Map<String, Resources> mFree = new HashMap<>();
    private final Map<String, ExecutorRow> mExecutors = new LinkedHashMap<>();
    private final Map<String, Integer> mRunCounts = new HashMap<>();

    /**
     * The smallest demand that fitted on no executor, or null. From one check to the next, free
     * capacity never grows, so a demand of at least this size need not be checked again.
     */
    private Resources mSmallestUnfitting;

    /** Executor on which the last demand fitted, which is tried first; null if none. */
    private String mLastFitting;

    private FreeCapacity() {}

    /** Returns the free capacity of the executors of a pool that accept runs. */
    static FreeCapacity of(SchedulerTick tick, String pool) {
        SchedulerWorld world = tick.world();
        FreeCapacity capacity = new FreeCapacity();
        for (ExecutorRow row : world.executors().group(pool)) {
            if (acceptsRuns(tick, row)) {
                Resources free = row.report().capacity();
                for (RunRow run : world.runs().group(row.id())) {
                    free = free.minus(run.reserved());
                }
                capacity.mExecutors.put(row.id(), row);
                capacity.mFree.put(row.id(), ZoneEvacuations.startableCapacity(tick, row, free));
                capacity.mRunCounts.put(row.id(), world.runs().group(row.id()).size());
            }
        }
        return capacity;
    }

    /**
     * Returns whether an executor accepts runs.
     *
     * <p>The store must name it among the executors in use, and it must have confirmed this owner's
     * fence, so that it rejects orders of an earlier owner. It must also be answering, and be
     * neither draining, quarantined, on a host that is about to leave service, nor in an evacuated
     * zone.
     */
    static boolean acceptsRuns(SchedulerTick tick, ExecutorRow row) {
        ExecutorSessionRow session = tick.world().executorSessions().find(row.id()).orElse(null);
        return session != null
                && row.recorded()
                && !row.cordoned()
                && !row.report().draining()
                && !ZoneEvacuations.isEvacuated(tick.world(), row)
                && row.missingSinceMs() == 0
                && session.consecutiveFailures() == 0
                && session.lastAnswerMs() != 0
                && session.confirmedFence() == tick.world().term().get().fence()
                && session.quarantinedUntilMs() <= tick.nowMs();
    }

    /** Returns whether a demand fits on some executor, going by its size alone. */
    boolean mayFit(Resources reserved) {
        if (mSmallestUnfitting != null && mSmallestUnfitting.fitsIn(reserved)) {
            return false;
        }
        if (mLastFitting != null && reserved.fitsIn(mFree.get(mLastFitting))) {
            return true;
        }
        for (Map.Entry<String, Resources> executor : mFree.entrySet()) {
            if (reserved.fitsIn(executor.getValue())) {
                mLastFitting = executor.getKey();
                return true;
            }
        }
        if (mSmallestUnfitting == null || reserved.fitsIn(mSmallestUnfitting)) {
            mSmallestUnfitting = reserved;
        }
        return false;
    }

    /** Returns whether no executor of the pool accepts runs. */
    boolean isEmpty() {
        return mExecutors.isEmpty();
    }

    /** Returns the executors that accept runs. */
    Collection<ExecutorRow> executors() {
        return mExecutors.values();
    }

    /** Returns the free capacity of an executor. */
    Resources free(String executor) {
        return mFree.get(executor);
    }

    /** Returns how many runs an executor has, with those placed in this tick. */
    int runCount(String executor) {
        return mRunCounts.get(executor);
    }

    /**
     * Reserves capacity for a run and counts the run.
     *
     * @param reserved amount to reserve; a negative amount gives capacity back, but also counts as
     *     a run
     */
    void reserve(String executor, Resources reserved) {
        mFree.merge(executor, reserved, Resources::minus);
        mRunCounts.merge(executor, 1, Integer::sum);
    }
}
