package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.hibiscususher.core.message.PermitGroup;
import org.hibiscususher.core.message.TeamDemand;

/**
 * The demand that this entry last reported to the allocator of a group.
 *
 * @param group the group
 * @param allocator the allocator to which it was sent
 * @param sentMs when it was sent, in milliseconds
 * @param teams the reported demand by team
 */
public record DemandReportRow(
        PermitGroup group, MemberKey allocator, long sentMs, List<TeamDemand> teams) {
    /** Makes a defensive copy of the list. */
    public DemandReportRow {
        requireNonNull(group);
        requireNonNull(allocator);
        teams = List.copyOf(teams);
    }
}
