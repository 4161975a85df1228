package org.hibiscususher.core.message;

import static java.util.Objects.requireNonNull;

/**
 * What a team is due of a pool at one entry.
 *
 * @param team the team
 * @param milliSlots slots, in thousandths
 */
public record TeamEntitlement(String team, int milliSlots) {
    /** Checks the fields. */
    public TeamEntitlement {
        requireNonNull(team);
    }
}
