package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.hibiscususher.core.message.TeamLoad;

/**
 * How much work runs in a pool from other entries, as its allocator last reported.
 *
 * @param pool the pool
 * @param sequence of the message that brought it
 * @param atMs when it came
 * @param teams the work by team
 */
public record PoolLoadRow(String pool, long sequence, long atMs, List<TeamLoad> teams) {
    /** Copies the list. */
    public PoolLoadRow {
        requireNonNull(pool);
        teams = List.copyOf(teams);
    }
}
