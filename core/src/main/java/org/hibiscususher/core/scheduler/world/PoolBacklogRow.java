package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.hibiscususher.core.scheduler.placement.StartPriority;
import org.hibiscususher.core.scheduler.placement.TeamShares;

/**
 * The work that waits in a pool, in the order in which it starts.
 *
 * <p>Derived from the other tables, so that the work ahead of a new job is found without a pass
 * over all tasks and runs.
 *
 * @param pool name of the pool
 * @param takenMs when it was derived, in milliseconds of the steady clock
 * @param cpuMillis processor capacity for waiting work, in thousandths of a core
 * @param shares the teams' shares of the pool
 * @param priorities priorities of the jobs with waiting work, in order
 * @param cumulativeCoreMicros for each of them, its waiting work and all before it, in
 *     core-microseconds
 * @param added jobs accepted since it was derived, of which there are few, since it is derived
 *     often
 */
public record PoolBacklogRow(
        String pool,
        long takenMs,
        long cpuMillis,
        TeamShares shares,
        List<StartPriority> priorities,
        List<Long> cumulativeCoreMicros,
        List<QueuedWork> added) {
    /** Rejects null components and copies the lists. */
    public PoolBacklogRow {
        requireNonNull(pool);
        requireNonNull(shares);
        priorities = List.copyOf(priorities);
        cumulativeCoreMicros = List.copyOf(cumulativeCoreMicros);
        added = List.copyOf(added);
    }

    /**
     * Returns the backlog of a pool.
     *
     * @param queued the waiting work, in any order
     */
    public static PoolBacklogRow of(
            String pool, long takenMs, long cpuMillis, TeamShares shares, List<QueuedWork> queued) {
        List<QueuedWork> sorted = new ArrayList<>(queued);
        sorted.sort(Comparator.comparing(QueuedWork::priority));
        List<StartPriority> priorities = new ArrayList<>(sorted.size());
        List<Long> cumulativeCoreMicros = new ArrayList<>(sorted.size());
        long work = 0;
        for (QueuedWork job : sorted) {
            work += job.coreMicros();
            priorities.add(job.priority());
            cumulativeCoreMicros.add(work);
        }
        return new PoolBacklogRow(
                pool, takenMs, cpuMillis, shares, priorities, cumulativeCoreMicros, List.of());
    }

    /**
     * Returns the work that starts before a new job, in core-microseconds. Work of the same
     * priority starts before it.
     */
    public long coreMicrosAhead(StartPriority priority) {
        int n = countThrough(priority);
        long ahead = n == 0 ? 0 : cumulativeCoreMicros.get(n - 1);
        for (QueuedWork job : added) {
            ahead += job.priority().compareTo(priority) <= 0 ? job.coreMicros() : 0;
        }
        return ahead;
    }

    /** Returns how many of the sorted jobs start before a new one of the given priority. */
    private int countThrough(StartPriority priority) {
        int low = 0;
        int high = priorities.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (priorities.get(middle).compareTo(priority) <= 0) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }

    /** Returns this backlog with the work of another job. */
    public PoolBacklogRow with(QueuedWork job) {
        List<QueuedWork> newAdded = new ArrayList<>(added);
        newAdded.add(job);
        return new PoolBacklogRow(
                pool, takenMs, cpuMillis, shares, priorities, cumulativeCoreMicros, newAdded);
    }
}
