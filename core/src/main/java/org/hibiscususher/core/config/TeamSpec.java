package org.hibiscususher.core.config;

import static java.util.Objects.requireNonNull;

/**
 * Declares a team of callers.
 *
 * @param id unique name
 * @param share weight of the team when a pool is full, 1 or more
 * @param upperLimit most requests that the team may have running in the whole fleet, 0 or more
 */
public record TeamSpec(String id, int share, int upperLimit) {
    /** Checks the fields. */
    public TeamSpec {
        requireNonNull(id);
        if (share < 1 || upperLimit < 0) {
            throw new IllegalArgumentException("share: " + share + ", upperLimit: " + upperLimit);
        }
    }
}
