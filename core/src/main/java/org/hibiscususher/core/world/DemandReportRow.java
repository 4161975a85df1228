package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.hibiscususher.core.message.PermitGroup;
import org.hibiscususher.core.message.TeamDemand;

/**
 * The demand that this entry last reported to a group's allocator.
 *
 * @param group the group
 * @param allocator the allocator
 * @param sentMs when
 * @param teams the work by team
 */
public record DemandReportRow(
        PermitGroup group, MemberKey allocator, long sentMs, List<TeamDemand> teams) {
    /** Copies the list. */
    public DemandReportRow {
        requireNonNull(group);
        requireNonNull(allocator);
        teams = List.copyOf(teams);
    }
}
