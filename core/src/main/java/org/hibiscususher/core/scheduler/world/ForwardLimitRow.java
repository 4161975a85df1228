package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.hibiscususher.core.scheduler.message.StoredRecord;

/**
 * How many unanswered submissions this entry may have at the owner.
 *
 * @param owner owner that the limit is for; empty before one is known
 * @param sinceMs since when it is the owner, in milliseconds of the steady clock; submissions that
 *     were forwarded before don't count
 * @param limit number of submissions that may be unanswered
 * @param reducedMs when the limit was last reduced, in milliseconds of the steady clock
 * @param recent answers and refusals of the last seconds
 */
public record ForwardLimitRow(
        Optional<StoredRecord.Owner> owner,
        long sinceMs,
        int limit,
        long reducedMs,
        ForwardRates recent) {
    /** Least limit, with which the load of an owner is still observed. */
    public static final int MIN_LIMIT = 4;

    /** Greatest limit. */
    public static final int MAX_LIMIT = 256;

    /** Limit for an owner whose load is not known yet. */
    public static final int INITIAL_LIMIT = 16;

    /** Rejects null components and limits out of range. */
    public ForwardLimitRow {
        requireNonNull(owner);
        requireNonNull(recent);
        if (limit < MIN_LIMIT || limit > MAX_LIMIT) {
            throw new IllegalArgumentException("limit out of range: " + limit);
        }
    }

    /** Returns the limit for an owner whose load is not known yet. */
    public static ForwardLimitRow initial(Optional<StoredRecord.Owner> owner, long nowMs) {
        return new ForwardLimitRow(owner, nowMs, INITIAL_LIMIT, 0, ForwardRates.NONE);
    }

    /** Returns this row with a limit that is one greater, up to the greatest. */
    public ForwardLimitRow increased() {
        int next = Math.min(MAX_LIMIT, limit + 1);
        return new ForwardLimitRow(owner, sinceMs, next, reducedMs, recent);
    }

    /** Returns this row with half the limit, down to the least. */
    public ForwardLimitRow halved(long nowMs) {
        int next = Math.max(MIN_LIMIT, limit / 2);
        return new ForwardLimitRow(owner, sinceMs, next, nowMs, recent);
    }

    /** Returns this row with other counts of answers and refusals. */
    public ForwardLimitRow withRecent(ForwardRates rates) {
        return new ForwardLimitRow(owner, sinceMs, limit, reducedMs, rates);
    }
}
