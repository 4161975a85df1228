package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.hibiscususher.core.message.PermitGroup;
import org.hibiscususher.core.message.TeamDemand;

/**
 * A member's demand for a group of permits by its last report.
 *
 * @param key the group and the member
 * @param sequence sequence of the message that brought it
 * @param receivedMs when it was received, in milliseconds
 * @param teams the demand by team
 */
public record MemberDemandRow(Key key, long sequence, long receivedMs, List<TeamDemand> teams) {
    /** Makes a defensive copy of the list. */
    public MemberDemandRow {
        requireNonNull(key);
        teams = List.copyOf(teams);
    }

    /**
     * Identifies a group and a member.
     *
     * @param group the group
     * @param member the member's process
     */
    public record Key(PermitGroup group, MemberKey member) {
        /** Rejects null components. */
        public Key {
            requireNonNull(group);
            requireNonNull(member);
        }
    }
}
