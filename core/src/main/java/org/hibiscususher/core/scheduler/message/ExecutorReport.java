package org.hibiscususher.core.scheduler.message;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.hibiscususher.core.job.Resources;

/**
 * What an executor says of itself in the store.
 *
 * @param id id
 * @param pool its pool
 * @param address IP number and port
 * @param zone availability zone
 * @param host the host that it is a life of; empty if not told
 * @param labels its labels
 * @param capacity what it can run
 * @param draining whether it takes no more work
 * @param remainingMs least time until it leaves, in milliseconds, while it drains
 * @param startedAtMs start of its life, in milliseconds since the epoch; 0 if not told
 */
public record ExecutorReport(
        String id,
        String pool,
        String address,
        String zone,
        String host,
        List<String> labels,
        Resources capacity,
        boolean draining,
        long remainingMs,
        long startedAtMs) {
    /** Checks the parts. */
    public ExecutorReport {
        requireNonNull(id);
        requireNonNull(pool);
        requireNonNull(address);
        requireNonNull(zone);
        requireNonNull(host);
        requireNonNull(capacity);
        labels = List.copyOf(labels);
    }
}
