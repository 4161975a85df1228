package org.hibiscususher.core.message;

import static java.util.Objects.requireNonNull;

/**
 * The slots of a pool to which a team is entitled at one entry.
 *
 * @param team name of the team
 * @param milliSlots entitlement in thousandths of a slot
 */
public record TeamEntitlement(String team, int milliSlots) {
    /** Rejects null components. */
    public TeamEntitlement {
        requireNonNull(team);
    }
}
