package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

/**
 * How much of a team's work runs in a whole pool, as its allocator last reported.
 *
 * @param key the pool and team
 * @param running requests running
 */
public record PoolLoadRow(Key key, int running) {
    /** Checks the fields. */
    public PoolLoadRow {
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
