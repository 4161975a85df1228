package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

/**
 * The deficit of a team in a pool at this entry: how far its slots in use have stayed below its
 * entitlement over time. The team with the largest deficit is served first.
 *
 * @param key the pool and the team
 * @param slotMs entitled slots less slots in use, integrated over time, in slot-milliseconds;
 *     negative if the team had more than its entitlement
 * @param updatedMs time up to which it is integrated, in milliseconds
 */
public record TeamDeficitRow(Key key, double slotMs, long updatedMs) {
    /** Rejects null components. */
    public TeamDeficitRow {
        requireNonNull(key);
    }

    /**
     * Identifies a pool and a team.
     *
     * @param pool the pool
     * @param team the team
     */
    public record Key(String pool, String team) {
        /** Rejects null components. */
        public Key {
            requireNonNull(pool);
            requireNonNull(team);
        }
    }
}
