package org.hibiscususher.core.world;

/**
 * Since when this entry can prove that no other process coordinates its share of the idempotency
 * keys.
 *
 * <p>A process that hasn't heard yet that this entry is active may still grant keys for which this
 * entry is now the coordinator. So the term begins only when every other member is known to have
 * heard of it; otherwise the same key could be granted twice.
 *
 * @param epoch epoch of the membership record that was last handled
 * @param requiredEpoch membership epoch that every other member must know before the term begins; 0
 *     while this entry is not an active member
 * @param sinceMs when all members were known to know it, in milliseconds; -1 if the term has not
 *     begun
 * @param sweptMs when expired keys were last removed, in milliseconds
 */
public record CoordinatorTermRow(long epoch, long requiredEpoch, long sinceMs, long sweptMs) {
    /** The row before the first membership record. */
    public static final CoordinatorTermRow NONE = new CoordinatorTermRow(0, 0, -1, 0);

    /** Returns a copy after a membership record was handled. */
    public CoordinatorTermRow withEpoch(long value) {
        return new CoordinatorTermRow(value, requiredEpoch, sinceMs, sweptMs);
    }

    /** Returns a copy whose term begins anew once every other member knows the given epoch. */
    public CoordinatorTermRow withRequiredEpoch(long value) {
        return new CoordinatorTermRow(epoch, value, -1, sweptMs);
    }

    /** Returns a copy whose term began at the given time. */
    public CoordinatorTermRow withSince(long value) {
        return new CoordinatorTermRow(epoch, requiredEpoch, value, sweptMs);
    }

    /** Returns a copy whose expired keys were removed at the given time. */
    public CoordinatorTermRow withSwept(long value) {
        return new CoordinatorTermRow(epoch, requiredEpoch, sinceMs, value);
    }
}
