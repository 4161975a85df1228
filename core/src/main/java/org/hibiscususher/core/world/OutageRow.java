package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.message.Outage;

/**
 * The present step of a host's outage, as seen by this entry.
 *
 * @param host the host
 * @param outage the outage as last recorded
 * @param sinceMs when this step was first seen, in milliseconds of the tick clock
 * @param reported whether the host was already reported as draining for too long
 */
public record OutageRow(String host, Outage outage, long sinceMs, boolean reported) {
    /** Rejects null components. */
    public OutageRow {
        requireNonNull(host);
        requireNonNull(outage);
    }
}
