package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.scheduler.message.StoredRecord;

/**
 * The claim of the ownership that is under way.
 *
 * @param generation number of the term that it would begin
 * @param validUntilMs until when its lease has surely not ended
 * @param predecessor owner of the term before; empty if there was none
 * @param predecessorAddress where that owner takes forwarded requests
 * @param predecessorReleased whether that owner surely gives no more orders
 * @param unsettled what that owner left open, if it told; see {@link StoredRecord.Term#unsettled()}
 */
public record OwnershipClaimRow(
        long generation,
        long validUntilMs,
        String predecessor,
        String predecessorAddress,
        boolean predecessorReleased,
        Optional<List<String>> unsettled) {
    /** No claim. */
    public static final OwnershipClaimRow NONE =
            new OwnershipClaimRow(0, 0, "", "", true, Optional.empty());

    /** Checks the parts. */
    public OwnershipClaimRow {
        requireNonNull(predecessor);
        requireNonNull(predecessorAddress);
        requireNonNull(unsettled);
    }
}
