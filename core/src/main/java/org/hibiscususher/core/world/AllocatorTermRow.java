package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hibiscususher.core.message.MemberState;
import org.hibiscususher.core.message.PermitGroup;

/**
 * The term of this entry as allocator of a group of permits.
 *
 * @param group the group
 * @param sinceEpoch membership epoch at which the term began; each membership record seen since
 *     then has named this entry as the allocator
 * @param memberStatuses the members that may hold permits of the group, by process
 * @param dueMs when the group is to be processed again, in milliseconds, {@link #NEVER} if not
 * @param claimsRequestedMs when missing claims were last requested, in milliseconds, -1 if never
 */
public record AllocatorTermRow(
        PermitGroup group,
        long sinceEpoch,
        Map<MemberKey, MemberStatus> memberStatuses,
        long dueMs,
        long claimsRequestedMs) {
    /**
     * Due time of a group that has nothing to do, and reclaim time of a member that may be alive.
     */
    public static final long NEVER = Long.MAX_VALUE;

    /** Rejects a null group and makes a defensive copy of the map. */
    public AllocatorTermRow {
        requireNonNull(group);
        memberStatuses = Collections.unmodifiableMap(new LinkedHashMap<>(memberStatuses));
    }

    /**
     * What an allocator knows of a member that may hold permits of the group.
     *
     * @param claimEpoch epoch of the member's claim, -1 if it has not sent one
     * @param state the member's state in the membership record in which it was last listed
     * @param reclaimAtMs when its permits become free, in milliseconds; {@link #NEVER} while it may
     *     be alive
     */
    public record MemberStatus(long claimEpoch, MemberState state, long reclaimAtMs) {
        /** Rejects null components. */
        public MemberStatus {
            requireNonNull(state);
        }

        /** Returns whether the member has sent a claim. */
        public boolean hasClaimed() {
            return claimEpoch >= 0;
        }
    }

    /**
     * Returns whether a claim is missing, so that a member may hold permits that this entry doesn't
     * know of.
     */
    public boolean awaitsClaims() {
        return memberStatuses.values().stream().anyMatch(s -> !s.hasClaimed());
    }

    /**
     * Returns a copy that is due at the given time or at its present due time, whichever is
     * earlier.
     */
    public AllocatorTermRow withDueBy(long atMs) {
        return withDueAt(Math.min(dueMs, atMs));
    }

    /** Returns a copy that is due at the given time. */
    public AllocatorTermRow withDueAt(long atMs) {
        return new AllocatorTermRow(group, sinceEpoch, memberStatuses, atMs, claimsRequestedMs);
    }

    /** Returns a copy whose missing claims were requested at the given time. */
    public AllocatorTermRow withClaimsRequested(long nowMs) {
        return new AllocatorTermRow(group, sinceEpoch, memberStatuses, dueMs, nowMs);
    }

    /** Returns a copy with the given status of a member. */
    public AllocatorTermRow withMemberStatus(MemberKey member, MemberStatus status) {
        Map<MemberKey, MemberStatus> changed = new LinkedHashMap<>(memberStatuses);
        changed.put(member, status);
        return new AllocatorTermRow(group, sinceEpoch, changed, dueMs, claimsRequestedMs);
    }

    /** Returns a copy without a member. */
    public AllocatorTermRow without(MemberKey member) {
        Map<MemberKey, MemberStatus> changed = new LinkedHashMap<>(memberStatuses);
        changed.remove(member);
        return new AllocatorTermRow(group, sinceEpoch, changed, dueMs, claimsRequestedMs);
    }
}
