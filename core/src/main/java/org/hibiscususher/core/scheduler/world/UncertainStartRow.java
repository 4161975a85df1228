package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

/**
 * An order to start a run that was not answered: it may still be carried out seconds later, also by
 * another life of the executor, which knows nothing of an order to stop.
 *
 * @param key the order
 * @param executor the executor
 * @param detectedMs when it was found to be unanswered
 * @param cancelPending whether the executor's present life has yet to hear that the run is not
 *     wanted
 * @param cancelSentMs when it was last told
 */
public record UncertainStartRow(
        StartKey key, String executor, long detectedMs, boolean cancelPending, long cancelSentMs) {
    /** Checks the parts. */
    public UncertainStartRow {
        requireNonNull(key);
        requireNonNull(executor);
    }

    /** Returns this row with the executor's present life yet to be told, or told. */
    public UncertainStartRow withCancelPending(boolean newCancelPending) {
        return new UncertainStartRow(
                key, executor, detectedMs, newCancelPending, newCancelPending ? 0 : cancelSentMs);
    }

    /** Returns this row with the executor told once more. */
    public UncertainStartRow withCancelSent(long nowMs) {
        return new UncertainStartRow(key, executor, detectedMs, cancelPending, nowMs);
    }
}
