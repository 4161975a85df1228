package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.scheduler.message.StoredRecord;

/**
 * The last attempt of this process to become the owner of the scheduling.
 *
 * @param generation number of the term that the claim begins
 * @param validUntilMs until when the lease that the claim relies on certainly holds, in
 *     milliseconds of the steady clock
 * @param predecessor node name of the previous term's owner; empty if there was none
 * @param predecessorAddress IP number and port at which that owner accepts forwarded requests;
 *     empty if there was none
 * @param predecessorReleased whether that owner certainly sends no more orders: it ran on this
 *     node, or never existed
 * @param predecessorGraceMs for how long after the claim that owner may send orders if it has not
 *     stopped, in milliseconds
 * @param earlierGraceMs for how long after the claim owners before that one may send orders, in
 *     milliseconds
 * @param unsettled what that owner reported as unsettled when it released the ownership, see {@link
 *     StoredRecord.Term#unsettled()}; empty if it did not release
 */
public record OwnershipClaimRow(
        long generation,
        long validUntilMs,
        String predecessor,
        String predecessorAddress,
        boolean predecessorReleased,
        long predecessorGraceMs,
        long earlierGraceMs,
        Optional<List<String>> unsettled) {
    /** No attempt yet. */
    public static final OwnershipClaimRow NONE =
            new OwnershipClaimRow(0, 0, "", "", true, 0, 0, Optional.empty());

    /** Rejects null components. */
    public OwnershipClaimRow {
        requireNonNull(predecessor);
        requireNonNull(predecessorAddress);
        requireNonNull(unsettled);
    }
}
