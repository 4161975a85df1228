package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.message.Outage;

/**
 * How long a host has been in the present step of its outage, as this entry saw it.
 *
 * @param host the host
 * @param outage the step
 * @param sinceMs when it was first seen, in milliseconds of the caller's clock
 * @param reported whether it was reported as late
 */
public record OutageRow(String host, Outage outage, long sinceMs, boolean reported) {
    /** Checks the fields. */
    public OutageRow {
        requireNonNull(host);
        requireNonNull(outage);
    }
}
