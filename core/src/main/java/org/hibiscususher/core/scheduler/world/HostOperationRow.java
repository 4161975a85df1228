package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

/**
 * The maintenance or move of a host.
 *
 * @param host host
 * @param wave wave; 0 for a move
 * @param destinationPool pool to move to; empty for maintenance
 * @param step step
 * @param callId order that is awaited; 0 for none
 * @param retryAtMs before when no order is sent
 * @param stepSinceMs since when it is in this step
 * @param executor executor that the host had; empty for none
 * @param uncertain whether an order for it was not answered and may have been carried out
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
    /** Checks the parts. */
    public HostOperationRow {
        requireNonNull(host);
        requireNonNull(destinationPool);
        requireNonNull(step);
        requireNonNull(executor);
    }

    /** Returns this row in another step. */
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

    /** Returns this row before the next order, which is not sent before a time. */
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

    /** Returns this row with an order that was not answered. */
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
