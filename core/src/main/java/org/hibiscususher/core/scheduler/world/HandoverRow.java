package org.hibiscususher.core.scheduler.world;

/**
 * Offers of the ownership, given and taken.
 *
 * @param unreachableSinceMs since when this owner has been out of reach of the store; 0 if it is
 *     not
 * @param lastOfferMs when it last offered the ownership
 * @param offersSent how often it has offered the ownership
 * @param acceptedGeneration generation of the term that its owner has offered to this process; 0
 *     for none
 */
public record HandoverRow(
        long unreachableSinceMs, long lastOfferMs, int offersSent, long acceptedGeneration) {
    /** No offer. */
    public static final HandoverRow NONE = new HandoverRow(0, 0, 0, 0);
}
