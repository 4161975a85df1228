package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.hibiscususher.core.message.TeamDue;

/**
 * What the teams are due of a pool at this entry, as the allocator last reported.
 *
 * @param pool the pool
 * @param sequence of the message that brought it
 * @param atMs when it came
 * @param teams what each team is due
 */
public record PoolDuesRow(String pool, long sequence, long atMs, List<TeamDue> teams) {
    /** Copies the list. */
    public PoolDuesRow {
        requireNonNull(pool);
        teams = List.copyOf(teams);
    }
}
