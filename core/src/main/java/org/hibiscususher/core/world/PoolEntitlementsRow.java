package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.hibiscususher.core.message.TeamEntitlement;

/**
 * The teams' entitlements to slots of a pool at this entry, as the allocator last reported them.
 *
 * @param pool the pool
 * @param sequence sequence of the message that brought them
 * @param receivedMs when they were received, in milliseconds
 * @param teams the entitlements by team
 */
public record PoolEntitlementsRow(
        String pool, long sequence, long receivedMs, List<TeamEntitlement> teams) {
    /** Makes a defensive copy of the list. */
    public PoolEntitlementsRow {
        requireNonNull(pool);
        teams = List.copyOf(teams);
    }
}
