package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

/**
 * The maintenance of a host, or its move to another pool.
 *
 * @param host host id
 * @param wave number of the maintenance wave; 0 for a move
 * @param destinationPool pool to which the host moves; empty for maintenance
 * @param step how far the operation has come
 * @param callId id of the order in flight; 0 for none
 * @param retryAtMs earliest time of the next order, in milliseconds of the steady clock
 * @param stepSinceMs when the current step began, in milliseconds of the steady clock
 * @param executor id of the executor that the host had at the beginning; empty for none
 * @param uncertain whether an order got no answer and may have been carried out, so that the host
 *     may be out of service until one is answered
 */
public record HostOperationRow(
        String host,
        long wave,
        String destinationPool,
        HostOperationStep step,
        long callId,
        long retryAtMs,
        long stepSinceMs,
        String executor,
        boolean uncertain) {
    /** Rejects null components. */
    public HostOperationRow {
        requireNonNull(host);
        requireNonNull(destinationPool);
        requireNonNull(step);
        requireNonNull(executor);
    }

    /** Returns this operation in another step, which begins now. */
    public HostOperationRow withStep(HostOperationStep newStep, long newCallId, long nowMs) {
        return new HostOperationRow(
                host,
                wave,
                destinationPool,
                newStep,
                newCallId,
                retryAtMs,
                nowMs,
                executor,
                uncertain);
    }

    /**
     * Returns this operation with its next order not before the given time, the host counting as
     * out of service if an earlier order is uncertain.
     */
    public HostOperationRow withRetryAt(long newRetryAtMs) {
        HostOperationStep next =
                uncertain ? HostOperationStep.UNANSWERED : HostOperationStep.EMPTYING;
        return new HostOperationRow(
                host,
                wave,
                destinationPool,
                next,
                0,
                newRetryAtMs,
                stepSinceMs,
                executor,
                uncertain);
    }

    /**
     * Returns this operation after an order without an answer, with the next one not before the
     * given time.
     */
    public HostOperationRow asUnanswered(long newRetryAtMs) {
        return new HostOperationRow(
                host,
                wave,
                destinationPool,
                HostOperationStep.UNANSWERED,
                0,
                newRetryAtMs,
                stepSinceMs,
                executor,
                true);
    }
}
