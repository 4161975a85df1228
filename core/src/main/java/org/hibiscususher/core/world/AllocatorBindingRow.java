package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.message.PermitGroup;

/**
 * Binds a group of permits at this entry to the allocator that grants them.
 *
 * @param group the group
 * @param allocator the process that allocates the group
 * @param claimEpoch membership epoch of the claim sent to the allocator; grants and returns are
 *     counted from that claim
 * @param claimAcknowledged whether the allocator has acknowledged the claim
 * @param claimSentMs when the claim was last sent, in milliseconds, -1 if never
 * @param dueMs when the group is to be processed again, in milliseconds, {@link #NEVER} if not
 * @param targetSequence sequence of the message that brought the targets; targets in earlier
 *     messages are ignored
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
    /** Due time of a group that has nothing to send. */
    public static final long NEVER = Long.MAX_VALUE;

    /** Rejects null components. */
    public AllocatorBindingRow {
        requireNonNull(group);
        requireNonNull(allocator);
    }

    /** Returns a new binding whose claim is yet to be sent. It is due at once. */
    public static AllocatorBindingRow of(PermitGroup group, MemberKey allocator, long claimEpoch) {
        return new AllocatorBindingRow(group, allocator, claimEpoch, false, -1, 0, 0, 0, 0);
    }

    /**
     * Returns a copy that is due at the given time or at its present due time, whichever is
     * earlier.
     */
    public AllocatorBindingRow withDueBy(long atMs) {
        return withDueAt(Math.min(dueMs, atMs));
    }

    /** Returns a copy that is due at the given time. */
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

    /** Returns a copy whose claim was sent at the given time. */
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

    /**
     * Returns a copy with new targets, which also acknowledge the claim. It is due at once, to
     * return permits above the targets.
     */
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
