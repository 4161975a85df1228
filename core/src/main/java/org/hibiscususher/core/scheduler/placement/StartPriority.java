package org.hibiscususher.core.scheduler.placement;

import static java.lang.Boolean.compare;

import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.estimate.RunTimes;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StepRow;

/**
 * Decides the order in which the waiting tasks of a pool start; the least one starts first.
 *
 * <p>Services come first, then queues of higher priority. Within a priority, jobs that can still
 * meet their deadline come first: those of teams within their share ahead of the others, and among
 * them those with the least remaining work, because this lets the most jobs meet their deadline
 * when demand is several times the pool's capacity for some seconds. The other jobs follow, oldest
 * first, so that none of them starves.
 *
 * @param service whether the task runs until its job is cancelled
 * @param queuePriority priority of the job's queue; 0 comes first
 * @param canMeetDeadline whether the job can still finish by its deadline, going by the expected
 *     run times
 * @param overShare whether the job's team uses more than its share of the pool
 * @param remainingCoreMs expected remaining work of the job, in core-milliseconds
 * @param arrivedMs when the job arrived, on the steady clock
 */
public record StartPriority(
        boolean service,
        int queuePriority,
        boolean canMeetDeadline,
        boolean overShare,
        long remainingCoreMs,
        long arrivedMs)
        implements Comparable<StartPriority> {
    /**
     * Returns the priority of a job's tasks. For a scheduled job, the remaining work is that of its
     * first occurrence.
     *
     * @param shares the teams' shares of the job's pool
     * @param nowMs the time on the steady clock
     */
    public static StartPriority of(
            SchedulerWorld world, JobRow job, TeamShares shares, long nowMs) {
        long remainingMs = 0;
        long remainingCoreMs = 0;
        for (int i = 0; i < job.spec().steps().size(); i++) {
            StepSpec step = job.spec().steps().get(i);
            StepRow row = world.steps().find(new StepKey(job.id(), 0, i)).orElse(null);
            int remainingTasks = row == null ? step.count() : row.remaining();
            long taskMs = RunTimes.expect(world, job, i).medianMs();
            remainingCoreMs += step.workCoreMs(taskMs) * remainingTasks / step.count();
            remainingMs += remainingTasks > 0 ? taskMs : 0;
        }
        return new StartPriority(
                job.spec().isService(),
                job.policy().priority(),
                nowMs + remainingMs <= job.deadlineMs(),
                shares.isOverShare(job.team()),
                remainingCoreMs,
                job.arrivedMs());
    }

    @Override
    public int compareTo(StartPriority other) {
        int result = compare(other.service, service);
        result = result != 0 ? result : Integer.compare(queuePriority, other.queuePriority);
        result = result != 0 ? result : compare(other.canMeetDeadline, canMeetDeadline);
        if (result == 0 && canMeetDeadline) {
            result = compare(overShare, other.overShare);
            result = result != 0 ? result : Long.compare(remainingCoreMs, other.remainingCoreMs);
        }
        return result != 0 ? result : Long.compare(arrivedMs, other.arrivedMs);
    }
}
