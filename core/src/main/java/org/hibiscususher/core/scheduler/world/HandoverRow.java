package org.hibiscususher.core.scheduler.world;

/**
 * Handover of the ownership: the offers that this process makes as an owner without access to the
 * store, and the one that it has accepted. Times are milliseconds of the steady clock.
 *
 * @param unreachableSinceMs since when the store has been unreachable for this owner; 0 if it is
 *     reachable or this process is not the owner
 * @param lastOfferMs when the ownership was last offered; 0 if not since then
 * @param offersSent number of offers since then, which selects the entry that gets the next one
 * @param acceptedGeneration generation of the term whose owner offered the ownership to this
 *     process, which may claim it; 0 for none
 */
public record HandoverRow(
        long unreachableSinceMs, long lastOfferMs, int offersSent, long acceptedGeneration) {
    /** No offer made or accepted. */
    public static final HandoverRow NONE = new HandoverRow(0, 0, 0, 0);
}
