package org.hibiscususher.core.scheduler.placement;

import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StepRow;

/**
 * The order in which waiting tasks of a pool start.
 *
 * <p>Answers queues that ask for several times what their pool holds, for some seconds: lasting and
 * urgent work first; then jobs that can still be done in time, those with the least work left
 * first, so that most jobs are in time; then the rest, oldest first, so that none starves.
 *
 * @param lasting whether the task runs until its job is cancelled
 * @param priority priority of the job's queue
 * @param hopeful whether the job can still be done in time
 * @param workLeft work left in the job, in core-milliseconds
 * @param arrivedMs when the job came
 */
record StartPriority(boolean lasting, int priority, boolean hopeful, long workLeft, long arrivedMs)
        implements Comparable<StartPriority> {
    /** Returns the place of a job's tasks. */
    static StartPriority of(SchedulerWorld world, JobRow job, long nowMs) {
        long chainMs = 0;
        long work = 0;
        for (int i = 0; i < job.spec().steps().size(); i++) {
            StepSpec step = job.spec().steps().get(i);
            StepRow row = world.steps().find(new StepKey(job.id(), 0, i)).orElse(null);
            int left = row == null ? step.count() : row.remaining();
            work += step.workCoreMs() * left / step.count();
            chainMs += left > 0 ? step.estimateMs() : 0;
        }
        boolean hopeful = nowMs + chainMs <= job.deadlineMs();
        return new StartPriority(
                job.spec().isService(), job.policy().priority(), hopeful, work, job.arrivedMs());
    }

    @Override
    public int compareTo(StartPriority other) {
        int order = Boolean.compare(other.lasting, lasting);
        order = order != 0 ? order : Integer.compare(priority, other.priority);
        order = order != 0 ? order : Boolean.compare(other.hopeful, hopeful);
        if (order == 0 && hopeful) {
            order = Long.compare(workLeft, other.workLeft);
        }
        return order != 0 ? order : Long.compare(arrivedMs, other.arrivedMs);
    }
}
