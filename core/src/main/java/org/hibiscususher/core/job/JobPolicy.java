package org.hibiscususher.core.job;

import static java.util.Objects.requireNonNull;

/**
 * The policy of a queue, which each of its jobs keeps as it was on acceptance.
 *
 * @param queue queue name
 * @param pool pool whose executors run the tasks
 * @param priority priority of the jobs, 0 being the highest
 * @param maxFailures number of failed runs of one task at which its job fails
 * @param criticalPathFactor factor on the duration of a job's critical path, in the time allowed to
 *     complete it
 * @param slackMs time allowed in addition, in milliseconds
 * @param needsPlacementToken whether a step may run only on executors for which an external service
 *     gives a placement token
 */
public record JobPolicy(
        String queue,
        String pool,
        int priority,
        int maxFailures,
        double criticalPathFactor,
        long slackMs,
        boolean needsPlacementToken) {
    /** Rejects null components. */
    public JobPolicy {
        requireNonNull(queue);
        requireNonNull(pool);
    }

    /**
     * Returns the time within which a job should complete, in milliseconds.
     *
     * @param criticalPathMs estimated duration of the job's critical path, in milliseconds
     */
    public long objectiveFor(long criticalPathMs) {
        return (long) (criticalPathFactor * criticalPathMs) + slackMs;
    }
}
