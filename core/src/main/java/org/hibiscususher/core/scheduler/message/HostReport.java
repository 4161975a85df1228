package org.hibiscususher.core.scheduler.message;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.hibiscususher.core.job.Resources;

/**
 * A host as listed by the platform.
 *
 * @param id host id
 * @param pool name of its pool
 * @param state whether the host is in service
 * @param zone availability zone
 * @param labels labels of the host
 * @param capacity resources that an executor on it can offer
 * @param executor id of the executor on it; empty for none
 */
public record HostReport(
        String id,
        String pool,
        HostState state,
        String zone,
        List<String> labels,
        Resources capacity,
        String executor) {
    /** Rejects null components and copies the list. */
    public HostReport {
        requireNonNull(id);
        requireNonNull(pool);
        requireNonNull(state);
        requireNonNull(zone);
        requireNonNull(capacity);
        requireNonNull(executor);
        labels = List.copyOf(labels);
    }
}
