package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.hibiscususher.core.message.TeamEntitlement;

/**
 * What the teams are due of a pool at this entry, as the allocator last reported.
 *
 * @param pool the pool
 * @param sequence of the message that brought it
 * @param receivedMs when it came
 * @param teams what each team is due
 */
public record PoolEntitlementsRow(
        String pool, long sequence, long receivedMs, List<TeamEntitlement> teams) {
    /** Copies the list. */
    public PoolEntitlementsRow {
        requireNonNull(pool);
        teams = List.copyOf(teams);
    }
}
