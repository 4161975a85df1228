package org.hibiscususher.core.config;

import static java.util.Objects.requireNonNull;

/**
 * Declares a team, the customer for whom requests run.
 *
 * @param id unique name of the team
 * @param share weight of the team when the slots of a pool are divided, 1 or more
 * @param upperLimit most requests that the team may have running in the whole fleet, 0 or more
 */
public record TeamSpec(String id, int share, int upperLimit) {
    /** Checks that the id is not null, and the bounds of the numbers. */
    public TeamSpec {
        requireNonNull(id);
        if (share < 1 || upperLimit < 0) {
            throw new IllegalArgumentException(
                    "share of a team must be 1 or more, and its upper limit 0 or more: "
                            + share
                            + ", "
                            + upperLimit);
        }
    }
}
