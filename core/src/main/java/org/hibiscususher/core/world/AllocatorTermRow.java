package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hibiscususher.core.message.MemberState;
import org.hibiscususher.core.message.PermitGroup;

/**
 * A group of permits that this entry allocates.
 *
 * @param group the group
 * @param sinceEpoch the epoch since which this entry has allocated it without a break
 * @param memberStatuses what is known of the members that may hold its permits
 * @param dueMs when the group is to be balanced again
 * @param claimsRequestedMs when members without an answer were last asked, -1 if never
 */
public record AllocatorTermRow(
        PermitGroup group,
        long sinceEpoch,
        Map<MemberKey, MemberStatus> memberStatuses,
        long dueMs,
        long claimsRequestedMs) {
    /** Time of a group at which nothing is due, and end of the rest of a member that lives. */
    public static final long NEVER = Long.MAX_VALUE;

    /** Copies the map. */
    public AllocatorTermRow {
        requireNonNull(group);
        memberStatuses = Collections.unmodifiableMap(new LinkedHashMap<>(memberStatuses));
    }

    /**
     * What is known of a member.
     *
     * @param claimEpoch the claimEpoch of its claim, -1 if it has not answered
     * @param state its state in the membership record as last seen
     * @param reclaimAtMs when what it holds is free, {@link #NEVER} while it may live
     */
    public record MemberStatus(long claimEpoch, MemberState state, long reclaimAtMs) {
        /** Checks the fields. */
        public MemberStatus {
            requireNonNull(state);
        }

        /** Returns whether the member has told what it holds. */
        public boolean hasClaimed() {
            return claimEpoch >= 0;
        }
    }

    /** Returns whether a member that has not answered may hold permits. */
    public boolean awaitsClaims() {
        return memberStatuses.values().stream().anyMatch(a -> !a.hasClaimed());
    }

    /** Returns a copy that is to be balanced at a time, or earlier if that was so before. */
    public AllocatorTermRow withDueBy(long atMs) {
        return withDueAt(Math.min(dueMs, atMs));
    }

    /** Returns a copy that is to be balanced at a time. */
    public AllocatorTermRow withDueAt(long atMs) {
        return new AllocatorTermRow(group, sinceEpoch, memberStatuses, atMs, claimsRequestedMs);
    }

    /** Returns a copy whose members were asked at a time. */
    public AllocatorTermRow withClaimsRequested(long nowMs) {
        return new AllocatorTermRow(group, sinceEpoch, memberStatuses, dueMs, nowMs);
    }

    /** Returns a copy that knows something else of a member. */
    public AllocatorTermRow withMemberStatus(MemberKey member, MemberStatus answer) {
        Map<MemberKey, MemberStatus> changed = new LinkedHashMap<>(memberStatuses);
        changed.put(member, answer);
        return new AllocatorTermRow(group, sinceEpoch, changed, dueMs, claimsRequestedMs);
    }

    /** Returns a copy without a member. */
    public AllocatorTermRow without(MemberKey member) {
        Map<MemberKey, MemberStatus> changed = new LinkedHashMap<>(memberStatuses);
        changed.remove(member);
        return new AllocatorTermRow(group, sinceEpoch, changed, dueMs, claimsRequestedMs);
    }
}
