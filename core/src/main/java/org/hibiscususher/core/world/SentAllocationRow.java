package org.hibiscususher.core.world;

import java.util.List;
import org.hibiscususher.core.message.TeamEntitlement;

/**
 * The targets and entitlements that this entry, as allocator of a group, has last sent to a member;
 * they are resent when they change and at intervals.
 *
 * @param key the group and the member
 * @param entitlementsSentMs when the entitlements were last sent, in milliseconds, -1 if never
 * @param entitlements the teams' entitlements as sent
 * @param targetsSentMs when the targets were last sent, in milliseconds, -1 if never
 * @param mainTarget slots or units to keep, as sent
 * @param longRunTarget permits for long runs to keep, as sent
 */
public record SentAllocationRow(
        MemberDemandRow.Key key,
        long entitlementsSentMs,
        List<TeamEntitlement> entitlements,
        long targetsSentMs,
        int mainTarget,
        int longRunTarget) {
    /** Makes a defensive copy of the list. */
    public SentAllocationRow {
        entitlements = List.copyOf(entitlements);
    }
}
