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
 * @param takenMs when the term began
 * @param callId store call that is awaited; 0 for none
 * @param sentMs when that call was sent
 * @param claimAtMs when to try to become the owner; 0 if not set
 * @param keepsState whether the process owned the term before and its tables hold
 * @param predecessorReleased whether the owner before surely gives no more orders
 */
public record TermRow(
        TermStage stage,
        long generation,
        long fence,
        long leaseId,
        long validUntilMs,
        long takenMs,
        long callId,
        long sentMs,
        long claimAtMs,
        boolean keepsState,
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
                takenMs,
                callId,
                sentMs,
                claimAtMs,
                keepsState,
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
                takenMs,
                newCallId,
                newSentMs,
                claimAtMs,
                keepsState,
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
                takenMs,
                callId,
                sentMs,
                newClaimAtMs,
                keepsState,
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
                takenMs,
                callId,
                sentMs,
                claimAtMs,
                keepsState,
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
                takenMs,
                callId,
                sentMs,
                claimAtMs,
                keepsState,
                predecessorReleased);
    }

    /** Returns this row with the scheduling owned and the tables held. */
    public TermRow withKeptState(boolean newKeepsState) {
        return new TermRow(
                stage,
                generation,
                fence,
                leaseId,
                validUntilMs,
                takenMs,
                callId,
                sentMs,
                claimAtMs,
                newKeepsState,
                predecessorReleased);
    }

    /** Returns whether the process decides on jobs, in its own term or while it takes it again. */
    public boolean owns() {
        return stage == TermStage.OWNING || stage == TermStage.RELEASING || keepsState;
    }

    /** Returns this row with the owner before surely giving no more orders. */
    public TermRow withReleasedPredecessor() {
        return new TermRow(
                stage,
                generation,
                fence,
                leaseId,
                validUntilMs,
                takenMs,
                callId,
                sentMs,
                claimAtMs,
                keepsState,
                true);
    }
}
