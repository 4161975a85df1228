package org.hibiscususher.core.job;

import static java.util.Objects.requireNonNull;

/**
 * The terms under which a job was accepted.
 *
 * @param queue name of its queue
 * @param pool pool whose executors run its tasks
 * @param priority 0 comes first
 * @param maxFailures how many failed runs of a task end the job
 * @param criticalPathFactor factor on the longest chain within which the job should be done
 * @param slackMs milliseconds that come on top
 * @param needsPlacementToken whether only an outside service knows which executors may run a step
 */
public record JobPolicy(
        String queue,
        String pool,
        int priority,
        int maxFailures,
        double criticalPathFactor,
        long slackMs,
        boolean needsPlacementToken) {
    /** Checks the parts. */
    public JobPolicy {
        requireNonNull(queue);
        requireNonNull(pool);
    }

    /** Returns within how many milliseconds a job of the given longest chain should be done. */
    public long objectiveFor(long chainMs) {
        return (long) (criticalPathFactor * chainMs) + slackMs;
    }
}
