package org.hibiscususher.core.world;

import java.util.List;
import org.hibiscususher.core.message.TeamEntitlement;

/**
 * What this entry, as allocator, last told a member.
 *
 * @param key the group and the member
 * @param entitlementsSentMs when the dues were last sent, -1 if never
 * @param entitlements the dues as sent
 * @param targetsSentMs when the targets were last sent, -1 if never
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
    /** Copies the list. */
    public SentAllocationRow {
        entitlements = List.copyOf(entitlements);
    }
}
