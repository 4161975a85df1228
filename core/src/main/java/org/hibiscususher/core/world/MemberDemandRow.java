package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.hibiscususher.core.message.PermitGroup;
import org.hibiscususher.core.message.TeamDemand;

/**
 * Work of one member for a group of permits, as it last reported.
 *
 * @param key the group and the member
 * @param sequence of the message that brought it
 * @param receivedMs when it came
 * @param teams the work by team
 */
public record MemberDemandRow(Key key, long sequence, long receivedMs, List<TeamDemand> teams) {
    /** Copies the list. */
    public MemberDemandRow {
        requireNonNull(key);
        teams = List.copyOf(teams);
    }

    /**
     * Names a group and a member.
     *
     * @param group the group
     * @param member the member
     */
    public record Key(PermitGroup group, MemberKey member) {
        /** Checks the fields. */
        public Key {
            requireNonNull(group);
            requireNonNull(member);
        }
    }
}
