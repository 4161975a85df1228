package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

/**
 * This process's part in the ownership of the scheduling. Times are milliseconds of the steady
 * clock.
 *
 * <p>At most one process is the owner according to the store. An earlier owner may not know yet
 * that it has been replaced; its orders carry a lower fence, which executors and hosts reject once
 * they have seen a higher one.
 *
 * @param stage how far it is in taking, holding or releasing the ownership
 * @param generation number of its term; 0 if it has none
 * @param fence fence of its orders: the store revision at which it became the owner
 * @param leaseId store lease that its ownership depends on
 * @param validUntilMs until when that lease certainly holds
 * @param startedAtMs when its term began
 * @param callId id of the store call in flight; 0 for none
 * @param sentMs when that call was sent
 * @param claimAtMs when to claim the ownership; 0 if no claim is planned
 * @param retainsTables whether it was the owner until its lease expired, and keeps its tables while
 *     it claims the ownership again
 * @param predecessorReleased whether the previous term's owner certainly sends no more orders
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
    /** Rejects null components. */
    public TermRow {
        requireNonNull(stage);
    }

    /** Returns the state of a process that has just started. */
    public static TermRow initial() {
        return new TermRow(TermStage.FOLLOWING, 0, 0, 0, 0, 0, 0, 0, 0, false, true);
    }

    /** Returns this row in another stage. */
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

    /** Returns this row in another stage with a store call in flight. */
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

    /** Returns this row with the time of the next claim; 0 for none. */
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

    /** Returns this row with another store lease. */
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

    /** Returns this row with the lease certain to hold until the given time. */
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

    /** Returns this row with the tables of the last term retained or not. */
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

    /**
     * Returns whether the process makes scheduling decisions: as the owner with its tables loaded,
     * or with the retained tables of its last term while it claims the ownership again.
     *
     * <p>Differs from {@link TermStage#isOwner()}, which holds while an owner loads its tables and
     * not while it claims the ownership again.
     */
    public boolean isScheduling() {
        return stage == TermStage.OWNING || stage == TermStage.RELEASING || retainsTables;
    }

    /** Returns this row with the previous owner certain to send no more orders. */
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
