package org.hibiscususher.core.world;

import java.util.List;
import org.hibiscususher.core.message.TeamDue;

/**
 * What this entry, as allocator, last told a member.
 *
 * @param key the group and the member
 * @param duesMs when the dues were last sent, -1 if never
 * @param teams the dues as sent
 * @param targetMs when the targets were last sent, -1 if never
 * @param main slots or units to keep, as sent
 * @param longRuns permits for long runs to keep, as sent
 */
public record AdviceRow(
        DemandRow.Key key,
        long duesMs,
        List<TeamDue> teams,
        long targetMs,
        int main,
        int longRuns) {
    /** Copies the list. */
    public AdviceRow {
        teams = List.copyOf(teams);
    }
}
