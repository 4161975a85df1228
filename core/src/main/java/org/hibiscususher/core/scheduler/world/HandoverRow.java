package org.hibiscususher.core.scheduler.world;

/**
 * Offers of the ownership, given and taken.
 *
 * @param sinceMs since when this owner has been out of reach of the store; 0 if it is not
 * @param sentMs when it last offered the ownership
 * @param sent how often it has offered the ownership
 * @param takenGeneration generation of the term that its owner has offered to this process; 0 for
 *     none
 */
public record HandoverRow(long sinceMs, long sentMs, int sent, long takenGeneration) {
    /** No offer. */
    public static final HandoverRow NONE = new HandoverRow(0, 0, 0, 0);
}
