package org.hibiscususher.core.scheduler.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.estimate.RunTimes;
import org.hibiscususher.core.scheduler.evacuation.ZoneEvacuations;
import org.hibiscususher.core.scheduler.placement.StartPriority;
import org.hibiscususher.core.scheduler.placement.TeamShares;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.HostOperationRow;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.PoolBacklogRow;
import org.hibiscususher.core.scheduler.world.QueuedWork;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StoreState;
import org.hibiscususher.core.scheduler.world.TaskGroup;

/**
 * Keeps the backlog of each pool, by which new jobs are accepted or rejected.
 *
 * <p>Keeps a decision short when submissions come faster than passes over all tasks and runs for
 * each of them would allow. Such passes make ticks longer, more submissions collect meanwhile, and
 * in the end leases are renewed and commits are sent too late. A backlog is derived at most once in
 * {@link #MAX_AGE_MS}; jobs that are accepted meanwhile are added to it.
 */
final class PoolBacklogs {
    /** Age up to which a backlog is used, in milliseconds. */
    static final long MAX_AGE_MS = 25;

    /** Part of a pool's capacity that short jobs get in the long run at least, in percent. */
    private static final int MIN_AVAILABLE_PERCENT = 10;

    private PoolBacklogs() {}

    /** Returns the backlog of a pool, derived anew if it is too old. */
    static PoolBacklogRow current(SchedulerWorld world, String pool, long nowMs) {
        PoolBacklogRow known = world.poolBacklogs().find(pool).orElse(null);
        if (known != null
                && nowMs - known.takenMs() < MAX_AGE_MS
                && isCapacityUnchanged(world, known)) {
            return known;
        }
        PoolBacklogRow derived = derive(world, pool, nowMs);
        world.poolBacklogs().put(pool, derived);
        return derived;
    }

    /** Returns whether a pool has any usable executor exactly if a backlog of it has capacity. */
    private static boolean isCapacityUnchanged(SchedulerWorld world, PoolBacklogRow backlog) {
        return ZoneEvacuations.hasNoUsableExecutor(world, backlog.pool())
                == (backlog.cpuMillis() == 0);
    }

    /** Adds a job that has just been accepted to the backlog of its pool. */
    static void add(SchedulerWorld world, JobRow job, long nowMs) {
        if (job.spec().isLimitedByBacklog()) {
            world.poolBacklogs()
                    .update(
                            job.policy().pool(),
                            backlog ->
                                    backlog.with(firstWork(world, job, backlog.shares(), nowMs)));
        }
    }

    private static PoolBacklogRow derive(SchedulerWorld world, String pool, long nowMs) {
        TeamShares shares = TeamShares.of(world, pool);
        List<QueuedWork> queued = new ArrayList<>();
        workByJob(world, pool)
                .forEach((id, work) -> queued.add(queuedWork(world, id, work, shares, nowMs)));
        for (JobRow job : world.jobs().group(StoreState.UNSTORED)) {
            boolean counts = !job.state().isFinal() && job.policy().pool().equals(pool);
            if (counts && job.spec().isLimitedByBacklog()) {
                queued.add(firstWork(world, job, shares, nowMs));
            }
        }
        return PoolBacklogRow.of(pool, nowMs, availableCpuMillis(world, pool), shares, queued);
    }

    /** Returns the expected work of the waiting tasks in a pool by job id, in core-microseconds. */
    private static Map<String, Long> workByJob(SchedulerWorld world, String pool) {
        Map<String, Long> workByJob = new HashMap<>();
        for (TaskGroup group : world.waitingGroups(pool)) {
            JobRow job = world.jobs().find(group.step().jobId()).orElseThrow();
            long taskCoreMicros = taskCoreMicros(world, job, group.step().step());
            workByJob.merge(
                    job.id(), world.tasks().group(group).size() * taskCoreMicros, Long::sum);
        }
        return workByJob;
    }

    private static QueuedWork queuedWork(
            SchedulerWorld world, String id, long work, TeamShares shares, long nowMs) {
        JobRow job = world.jobs().find(id).orElseThrow();
        return new QueuedWork(StartPriority.of(world, job, shares, nowMs), work);
    }

    /**
     * Returns the expected work of a task of a step, in core-microseconds; 0 for a service, which
     * has no end, and for a best-effort step, which reserves no processor time.
     */
    private static long taskCoreMicros(SchedulerWorld world, JobRow job, int stepNumber) {
        StepSpec spec = job.spec().steps().get(stepNumber);
        return spec.service()
                ? 0
                : spec.reserved().cpuMillis() * RunTimes.expect(world, job, stepNumber).medianMs();
    }

    /** Returns the work of the steps with which a job begins once the store holds it. */
    private static QueuedWork firstWork(
            SchedulerWorld world, JobRow job, TeamShares shares, long nowMs) {
        long work = 0;
        for (int i = 0; i < job.spec().steps().size(); i++) {
            StepSpec spec = job.spec().steps().get(i);
            work += spec.dependsOn().isEmpty() ? spec.count() * taskCoreMicros(world, job, i) : 0;
        }
        return new QueuedWork(StartPriority.of(world, job, shares, nowMs), work);
    }

    /**
     * Returns the processor capacity of a pool without services and evacuated zones, in thousandths
     * of a core.
     */
    private static long availableCpuMillis(SchedulerWorld world, String pool) {
        long capacityMillis = 0;
        long serviceMillis = 0;
        int executors = 0;
        for (ExecutorRow row : world.executors().group(pool)) {
            if (ZoneEvacuations.isEvacuated(world, row)) {
                continue;
            }
            capacityMillis += row.report().capacity().cpuMillis();
            executors++;
            for (RunRow run : world.runs().group(row.id())) {
                serviceMillis +=
                        JobLifecycle.isService(world, run) ? run.reserved().cpuMillis() : 0;
            }
        }
        long perHostMillis = capacityMillis / Math.max(1, executors);
        for (HostOperationRow row : world.hostOperations().rows()) {
            boolean arrives =
                    row.destinationPool().equals(pool) && !ZoneEvacuations.isEvacuated(world, row);
            capacityMillis += arrives ? perHostMillis : 0;
        }
        return Math.max(
                capacityMillis - serviceMillis, capacityMillis * MIN_AVAILABLE_PERCENT / 100);
    }
}
