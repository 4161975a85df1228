package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

/**
 * An order to start a run that got no answer.
 *
 * <p>The executor may still carry it out seconds later, and so may its next incarnation, which
 * knows nothing of a stop order to the previous one. Each incarnation that starts in that time is
 * therefore sent a stop order.
 *
 * @param key task and number of the run that the order was for
 * @param executor executor id
 * @param detectedMs when the answer was found to be missing, in milliseconds of the steady clock
 * @param cancelPending whether the executor's current incarnation must still be sent a stop order
 * @param cancelSentMs when that order was last sent, in milliseconds of the steady clock; 0 for not
 *     yet
 */
public record UncertainStartRow(
        StartKey key, String executor, long detectedMs, boolean cancelPending, long cancelSentMs) {
    /** Rejects null components. */
    public UncertainStartRow {
        requireNonNull(key);
        requireNonNull(executor);
    }

    /** Returns this row with a stop order pending to an incarnation that has not been sent one. */
    public UncertainStartRow withCancelPending() {
        return new UncertainStartRow(key, executor, detectedMs, true, 0);
    }

    /**
     * Returns this row after an answer to a stop order. It doesn't count if no order has been sent
     * since the executor restarted: the earlier incarnation has given it.
     */
    public UncertainStartRow withCancelAnswered() {
        boolean counts = cancelSentMs != 0;
        return new UncertainStartRow(
                key, executor, detectedMs, cancelPending && !counts, cancelSentMs);
    }

    /** Returns this row after sending a stop order. */
    public UncertainStartRow withCancelSent(long nowMs) {
        return new UncertainStartRow(key, executor, detectedMs, cancelPending, nowMs);
    }
}
