package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.message.PermitGroup;

/**
 * The allocator that this entry follows for a group of permits.
 *
 * @param group the group
 * @param allocator the allocator
 * @param claimEpoch the epoch from which the holdings of the group count
 * @param claimAcknowledged whether the allocator has taken in the claim
 * @param claimSentMs when the claim was last sent, -1 if never
 * @param dueMs when the group is to be looked at again
 * @param targetSequence of the message from which the targets came
 * @param mainTarget how many slots or units to keep
 * @param longRunTarget how many permits for long runs to keep
 */
public record AllocatorBindingRow(
        PermitGroup group,
        MemberKey allocator,
        long claimEpoch,
        boolean claimAcknowledged,
        long claimSentMs,
        long dueMs,
        long targetSequence,
        int mainTarget,
        int longRunTarget) {
    /** Time of a group at which nothing is due. */
    public static final long NEVER = Long.MAX_VALUE;

    /** Checks the fields. */
    public AllocatorBindingRow {
        requireNonNull(group);
        requireNonNull(allocator);
    }

    /** Returns the row of a group whose claim is still to be sent. */
    public static AllocatorBindingRow of(PermitGroup group, MemberKey allocator, long claimEpoch) {
        return new AllocatorBindingRow(group, allocator, claimEpoch, false, -1, 0, 0, 0, 0);
    }

    /** Returns a copy that is to be looked at again at a time, or earlier if that was so before. */
    public AllocatorBindingRow withDueBy(long atMs) {
        return withDueAt(Math.min(dueMs, atMs));
    }

    /** Returns a copy that is to be looked at again at a time. */
    public AllocatorBindingRow withDueAt(long atMs) {
        return new AllocatorBindingRow(
                group,
                allocator,
                claimEpoch,
                claimAcknowledged,
                claimSentMs,
                atMs,
                targetSequence,
                mainTarget,
                longRunTarget);
    }

    /** Returns a copy whose claim was sent at a time. */
    public AllocatorBindingRow withClaimSent(long nowMs) {
        return new AllocatorBindingRow(
                group,
                allocator,
                claimEpoch,
                claimAcknowledged,
                nowMs,
                dueMs,
                targetSequence,
                mainTarget,
                longRunTarget);
    }

    /** Returns a copy with targets that came with a message; it is due at once. */
    public AllocatorBindingRow withTargets(long messageSequence, int main, int longRuns) {
        return new AllocatorBindingRow(
                group,
                allocator,
                claimEpoch,
                true,
                claimSentMs,
                0,
                messageSequence,
                main,
                longRuns);
    }
}
