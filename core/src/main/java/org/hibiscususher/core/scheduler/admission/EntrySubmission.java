package org.hibiscususher.core.scheduler.admission;

import java.util.Optional;
import org.hibiscususher.core.job.JobConfiguration;
import org.hibiscususher.core.job.JobQueue;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TeamQueue;

/**
 * A submission that an entry is about to forward.
 *
 * @param team name of its team; empty for a caller without one
 * @param queue name of its queue; empty if the configuration in force has none for it
 * @param path path of the request, which names the job
 * @param spec the job, if the request has one
 */
record EntrySubmission(String team, Optional<String> queue, String path, Optional<JobSpec> spec) {
    static EntrySubmission of(SchedulerWorld world, JobRequest request) {
        JobConfiguration configuration = world.configuration().get().configuration();
        return new EntrySubmission(
                ForwardAdmission.teamOf(world, request),
                configuration.route(request.hostName(), request.path()).map(JobQueue::name),
                request.path(),
                request.spec());
    }

    /** Returns the team and the queue, or empty if the queue is not known. */
    Optional<TeamQueue> teamQueue() {
        return queue.map(name -> new TeamQueue(name, team));
    }

    /** Returns a number that differs between submissions, for the jitter of retry times. */
    int jitterSeed() {
        return path.hashCode();
    }
}
