package org.hibiscususher.core.scheduler.message;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.hibiscususher.core.job.Resources;

/**
 * An executor's description of itself, which it keeps in the store.
 *
 * @param id executor id
 * @param pool name of its pool
 * @param address IP number and port at which it accepts orders; empty if not known
 * @param zone availability zone
 * @param host id of the host that it runs on; empty if not reported
 * @param labels labels that steps may require or prefer, such as that of its rack
 * @param capacity resources that its runs may reserve together
 * @param draining whether it accepts no new runs because it is about to shut down
 * @param remainingMs least time until it shuts down, in milliseconds, while it is draining
 * @param startedAtMs start time of its process, in milliseconds since the epoch; 0 if not reported
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
    /** Rejects null components and copies the list. */
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
