package org.hibiscususher.core.scheduler.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.ExecutorSessionRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;

/** What is free on the executors of a pool, while runs are being placed. Not thread-safe. */
final class FreeCapacity {
    private final Map<String, Resources> mFree = new HashMap<>();
    private final Map<String, ExecutorRow> mExecutors = new LinkedHashMap<>();
    private final Map<String, Integer> mRuns = new HashMap<>();

    /** What last fitted on no executor; room only shrinks, so whatever needs as much won't fit. */
    private Resources mTooBig;

    private FreeCapacity() {}

    /** Returns the room on the executors of a pool that may get new runs. */
    static FreeCapacity of(SchedulerTick tick, String pool) {
        SchedulerWorld world = tick.world();
        FreeCapacity room = new FreeCapacity();
        for (ExecutorRow row : world.executors().group(pool)) {
            if (acceptsRuns(tick, row)) {
                Resources free = row.report().capacity();
                for (RunRow run : world.runs().group(row.id())) {
                    free = free.minus(run.reserved());
                }
                room.mExecutors.put(row.id(), row);
                room.mFree.put(row.id(), free);
                room.mRuns.put(row.id(), world.runs().group(row.id()).size());
            }
        }
        return room;
    }

    /** Returns whether an executor may get new runs. */
    static boolean acceptsRuns(SchedulerTick tick, ExecutorRow row) {
        ExecutorSessionRow contact = tick.world().executorSessions().find(row.id()).orElse(null);
        return contact != null
                && row.recorded()
                && !row.cordoned()
                && !row.report().draining()
                && row.missingSinceMs() == 0
                && contact.consecutiveFailures() == 0
                && contact.lastAnswerMs() != 0
                && contact.confirmedFence() == tick.world().term().get().fence()
                && contact.quarantinedUntilMs() <= tick.nowMs();
    }

    /** Returns whether some executor has so much free. */
    boolean mayFit(Resources reserved) {
        if (mTooBig != null && mTooBig.fitsIn(reserved)) {
            return false;
        }
        boolean fits = mFree.values().stream().anyMatch(reserved::fitsIn);
        if (!fits) {
            mTooBig = reserved;
        }
        return fits;
    }

    /** Returns whether there is no executor. */
    boolean isEmpty() {
        return mExecutors.isEmpty();
    }

    /** Returns the executors. */
    Collection<ExecutorRow> executors() {
        return mExecutors.values();
    }

    /** Returns what is free on an executor. */
    Resources free(String executor) {
        return mFree.get(executor);
    }

    /** Returns how many runs an executor has. */
    int runCount(String executor) {
        return mRuns.get(executor);
    }

    /** Takes room for a run. */
    void reserve(String executor, Resources reserved) {
        mFree.merge(executor, reserved, Resources::minus);
        mRuns.merge(executor, 1, Integer::sum);
    }
}
