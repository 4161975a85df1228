package org.hibiscususher.core.scheduler.job;

import org.hibiscususher.core.scheduler.message.RecordKind;
import org.hibiscususher.core.scheduler.message.RecordName;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;

/** Begins occurrences when they are due, and forgets jobs that ended long ago. */
public final class JobSystem {
    /** Time for which callers can ask for the state of a job that has ended, in milliseconds. */
    private static final long KEEP_MS = 180_000;

    private JobSystem() {}

    /** Runs over all jobs. */
    public static void run(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        if (!world.term().get().isScheduling()) {
            return;
        }
        for (JobRow job : world.jobs().rows()) {
            if (job.acceptsRuns() && job.spec().isScheduled()) {
                JobLifecycle.activateDueOccurrences(tick, job.id());
            } else if (job.state().isFinal() && tick.nowMs() - job.endedMs() > KEEP_MS) {
                forget(world, job);
            }
        }
    }

    private static void forget(SchedulerWorld world, JobRow job) {
        RecordName progress = RecordName.of(RecordKind.PROGRESS, job.id());
        if (!world.revisions().contains(progress)) {
            world.jobs().remove(job.id());
            world.pendingRemovals().remove(progress);
        } else if (!job.isDirty() && !world.pendingRemovals().contains(progress)) {
            world.pendingRemovals().put(progress, 0L);
        }
    }
}
