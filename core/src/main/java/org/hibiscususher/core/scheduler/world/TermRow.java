package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

/**
 * The ownership as this process sees its own part in it.
 *
 * @param stage where the process stands
 * @param generation number of its term
 * @param fence fence of its orders: the revision at which it became the owner
 * @param leaseId lease of the ownership
 * @param validUntilMs until when the lease has surely not ended
 * @param startedAtMs when the term began
 * @param callId store call that is awaited; 0 for none
 * @param sentMs when that call was sent
 * @param claimAtMs when to try to become the owner; 0 if not set
 * @param retainsTables whether the process owned the term before and its tables hold
 * @param predecessorReleased whether the owner before surely gives no more orders
 */
public record TermRow(
        TermStage stage,
        long generation,
        long fence,
        long leaseId,
        long validUntilMs,
        long startedAtMs,
        long callId,
        long sentMs,
        long claimAtMs,
        boolean retainsTables,
        boolean predecessorReleased) {
    /** Checks the parts. */
    public TermRow {
        requireNonNull(stage);
    }

    /** Returns the state of a process that has just started. */
    public static TermRow initial() {
        return new TermRow(TermStage.FOLLOWING, 0, 0, 0, 0, 0, 0, 0, 0, false, true);
    }

    /** Returns this row with another stage. */
    public TermRow withStage(TermStage newStage) {
        return new TermRow(
                newStage,
                generation,
                fence,
                leaseId,
                validUntilMs,
                startedAtMs,
                callId,
                sentMs,
                claimAtMs,
                retainsTables,
                predecessorReleased);
    }

    /** Returns this row with an awaited store call. */
    public TermRow withCall(TermStage newStage, long newCallId, long newSentMs) {
        return new TermRow(
                newStage,
                generation,
                fence,
                leaseId,
                validUntilMs,
                startedAtMs,
                newCallId,
                newSentMs,
                claimAtMs,
                retainsTables,
                predecessorReleased);
    }

    /** Returns this row with a time of the next claim. */
    public TermRow withClaimAt(long newClaimAtMs) {
        return new TermRow(
                stage,
                generation,
                fence,
                leaseId,
                validUntilMs,
                startedAtMs,
                callId,
                sentMs,
                newClaimAtMs,
                retainsTables,
                predecessorReleased);
    }

    /** Returns this row with a lease of the store. */
    public TermRow withLease(long newLeaseId, long newValidUntilMs) {
        return new TermRow(
                stage,
                generation,
                fence,
                newLeaseId,
                newValidUntilMs,
                startedAtMs,
                callId,
                sentMs,
                claimAtMs,
                retainsTables,
                predecessorReleased);
    }

    /** Returns this row with a later end of the lease. */
    public TermRow withValidUntil(long newValidUntilMs) {
        return new TermRow(
                stage,
                generation,
                fence,
                leaseId,
                newValidUntilMs,
                startedAtMs,
                callId,
                sentMs,
                claimAtMs,
                retainsTables,
                predecessorReleased);
    }

    /** Returns this row with the scheduling owned and the tables held. */
    public TermRow withRetainedTables(boolean newRetainsTables) {
        return new TermRow(
                stage,
                generation,
                fence,
                leaseId,
                validUntilMs,
                startedAtMs,
                callId,
                sentMs,
                claimAtMs,
                newRetainsTables,
                predecessorReleased);
    }

    /** Returns whether the process decides on jobs, in its own term or while it takes it again. */
    public boolean isScheduling() {
        return stage == TermStage.OWNING || stage == TermStage.RELEASING || retainsTables;
    }

    /** Returns this row with the owner before surely giving no more orders. */
    public TermRow withPredecessorReleased() {
        return new TermRow(
                stage,
                generation,
                fence,
                leaseId,
                validUntilMs,
                startedAtMs,
                callId,
                sentMs,
                claimAtMs,
                retainsTables,
                true);
    }
}
