package org.hibiscususher.core.job;

import static java.util.Objects.requireNonNull;

/**
 * A queue to which callers submit jobs.
 *
 * @param hostName host name of requests to the queue
 * @param pathPrefix prefix of the paths of requests to the queue
 * @param allowsAnonymous whether the queue accepts jobs without an API key
 * @param policy policy of its jobs
 */
public record JobQueue(
        String hostName, String pathPrefix, boolean allowsAnonymous, JobPolicy policy) {
    /** Rejects null components. */
    public JobQueue {
        requireNonNull(hostName);
        requireNonNull(pathPrefix);
        requireNonNull(policy);
    }

    /** Returns whether requests to a host and path may be for this queue. */
    public boolean matches(String host, String path) {
        return hostName.equals(host) && path.startsWith(pathPrefix);
    }

    /** Returns the name of the queue. */
    public String name() {
        return policy.queue();
    }
}
