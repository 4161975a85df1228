package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.message.PermitGroup;

/**
 * The allocator that this entry follows for a group of permits.
 *
 * @param group the group
 * @param allocator the allocator
 * @param basis the epoch from which the holdings of the group count
 * @param answered whether the allocator has taken in the claim
 * @param claimSentMs when the claim was last sent, -1 if never
 * @param dueMs when the group is to be looked at again
 * @param sequence of the message from which the targets came
 * @param mainTarget how many slots or units to keep
 * @param longTarget how many permits for long runs to keep
 */
public record AttachmentRow(
        PermitGroup group,
        MemberKey allocator,
        long basis,
        boolean answered,
        long claimSentMs,
        long dueMs,
        long sequence,
        int mainTarget,
        int longTarget) {
    /** Time of a group at which nothing is due. */
    public static final long NEVER = Long.MAX_VALUE;

    /** Checks the fields. */
    public AttachmentRow {
        requireNonNull(group);
        requireNonNull(allocator);
    }

    /** Returns the row of a group whose claim is still to be sent. */
    public static AttachmentRow of(PermitGroup group, MemberKey allocator, long basis) {
        return new AttachmentRow(group, allocator, basis, false, -1, 0, 0, 0, 0);
    }

    /** Returns a copy that is to be looked at again at a time, or earlier if that was so before. */
    public AttachmentRow withDue(long atMs) {
        return withNextDue(Math.min(dueMs, atMs));
    }

    /** Returns a copy that is to be looked at again at a time. */
    public AttachmentRow withNextDue(long atMs) {
        return new AttachmentRow(
                group,
                allocator,
                basis,
                answered,
                claimSentMs,
                atMs,
                sequence,
                mainTarget,
                longTarget);
    }

    /** Returns a copy whose claim was sent at a time. */
    public AttachmentRow withClaimSent(long nowMs) {
        return new AttachmentRow(
                group, allocator, basis, answered, nowMs, dueMs, sequence, mainTarget, longTarget);
    }

    /** Returns a copy with targets that came with a message; it is due at once. */
    public AttachmentRow withTargets(long messageSequence, int main, int longRuns) {
        return new AttachmentRow(
                group, allocator, basis, true, claimSentMs, 0, messageSequence, main, longRuns);
    }
}
