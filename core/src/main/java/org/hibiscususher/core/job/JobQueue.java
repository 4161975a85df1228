package org.hibiscususher.core.job;

import static java.util.Objects.requireNonNull;

/**
 * A queue that takes jobs.
 *
 * @param hostName host name in callers' requests
 * @param pathPrefix beginning of the paths that lead to the queue
 * @param allowsAnonymous whether the queue takes jobs without a key
 * @param policy terms of its jobs
 */
public record JobQueue(
        String hostName, String pathPrefix, boolean allowsAnonymous, JobPolicy policy) {
    /** Checks the parts. */
    public JobQueue {
        requireNonNull(hostName);
        requireNonNull(pathPrefix);
        requireNonNull(policy);
    }

    /** Returns the queue's name. */
    public String name() {
        return policy.queue();
    }
}
