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
 * @param atMs when
 * @param teams the work by team
 */
public record ReportRow(PermitGroup group, MemberKey allocator, long atMs, List<TeamDemand> teams) {
    /** Copies the list. */
    public ReportRow {
        requireNonNull(group);
        requireNonNull(allocator);
        teams = List.copyOf(teams);
    }
}
