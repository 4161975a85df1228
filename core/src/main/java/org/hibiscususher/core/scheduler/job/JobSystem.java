package org.hibiscususher.core.scheduler.job;

import org.hibiscususher.core.scheduler.message.RecordKind;
import org.hibiscususher.core.scheduler.message.RecordName;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerTiming;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;

/**
 * Activates the occurrences of scheduled jobs when they are due, and removes old finished jobs and
 * old cancellations.
 */
public final class JobSystem {
    private JobSystem() {}

    /** Processes all jobs; only the owner does so. */
    public static void run(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        if (!world.term().get().isScheduling()) {
            return;
        }
        for (JobRow job : world.jobs().rows()) {
            if (job.acceptsRuns() && job.spec().isScheduled()) {
                JobLifecycle.activateDueOccurrences(tick, job.id());
            } else if (job.state().isFinal() && isExpired(job, tick.nowMs())) {
                removeFinished(world, job);
            }
        }
        JobCancellations.removeExpired(tick);
    }

    private static boolean isExpired(JobRow job, long nowMs) {
        return nowMs - job.endedMs() > SchedulerTiming.JOB_RETENTION_MS;
    }

    /**
     * Requests the removal of a job's records, or removes its row once the store no longer has
     * them. A row removed earlier would leave records that the next owner loads again; one removed
     * before its final state is stored would leave a job that the next owner runs again.
     */
    private static void removeFinished(SchedulerWorld world, JobRow job) {
        RecordName progress = RecordName.of(RecordKind.PROGRESS, job.id());
        if (job.isDirty()) {
            return;
        }
        if (!world.revisions().contains(progress)) {
            world.jobs().remove(job.id());
            world.pendingRemovals().remove(progress);
        } else if (!world.pendingRemovals().contains(progress)) {
            world.pendingRemovals().put(progress, progress);
        }
    }
}
