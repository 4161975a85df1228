package org.hibiscususher.core.scheduler.message;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.hibiscususher.core.job.Resources;

/**
 * A host as the platform lists it.
 *
 * @param id id
 * @param pool its pool
 * @param state its state
 * @param zone availability zone
 * @param labels labels
 * @param capacity what an executor on it can run
 * @param executor id of its executor; empty for none
 */
public record HostReport(
        String id,
        String pool,
        HostState state,
        String zone,
        List<String> labels,
        Resources capacity,
        String executor) {
    /** Checks the parts. */
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
