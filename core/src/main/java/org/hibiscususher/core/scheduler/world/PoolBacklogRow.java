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
 * @param workThrough for each of them, its waiting work and all before it, in thousandths of a core
 *     times milliseconds
 */
public record PoolBacklogRow(
        String pool,
        long takenMs,
        long cpuMillis,
        TeamShares shares,
        List<StartPriority> priorities,
        List<Long> workThrough) {
    /** Rejects null components and copies the lists. */
    public PoolBacklogRow {
        requireNonNull(pool);
        requireNonNull(shares);
        priorities = List.copyOf(priorities);
        workThrough = List.copyOf(workThrough);
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
        List<Long> workThrough = new ArrayList<>(sorted.size());
        long work = 0;
        for (QueuedWork job : sorted) {
            work += job.work();
            priorities.add(job.priority());
            workThrough.add(work);
        }
        return new PoolBacklogRow(pool, takenMs, cpuMillis, shares, priorities, workThrough);
    }

    /**
     * Returns the work that starts before a new job, in thousandths of a core times milliseconds.
     * Work of the same priority starts before it.
     */
    public long workAhead(StartPriority priority) {
        int n = countThrough(priority);
        return n == 0 ? 0 : workThrough.get(n - 1);
    }

    /** Returns how many jobs start before a new one of the given priority. */
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
    public PoolBacklogRow with(QueuedWork added) {
        int n = countThrough(added.priority());
        List<StartPriority> newPriorities = new ArrayList<>(priorities);
        newPriorities.add(n, added.priority());
        List<Long> newWorkThrough = new ArrayList<>(workThrough.size() + 1);
        newWorkThrough.addAll(workThrough.subList(0, n));
        newWorkThrough.add((n == 0 ? 0 : workThrough.get(n - 1)) + added.work());
        workThrough
                .subList(n, workThrough.size())
                .forEach(work -> newWorkThrough.add(work + added.work()));
        return new PoolBacklogRow(pool, takenMs, cpuMillis, shares, newPriorities, newWorkThrough);
    }
}
