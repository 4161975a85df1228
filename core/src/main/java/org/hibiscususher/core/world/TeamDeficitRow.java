package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

/**
 * How far a team's slots of a pool at this entry have fallen short of what it was due.
 *
 * @param key the pool and the team
 * @param slotMs slots due less slots in use, added up over time, in slot-milliseconds
 * @param updatedMs when it was last added up
 */
public record TeamDeficitRow(Key key, double slotMs, long updatedMs) {
    /** Checks the fields. */
    public TeamDeficitRow {
        requireNonNull(key);
    }

    /**
     * Names a pool and a team.
     *
     * @param pool the pool
     * @param team the team
     */
    public record Key(String pool, String team) {
        /** Checks the fields. */
        public Key {
            requireNonNull(pool);
            requireNonNull(team);
        }
    }
}
