package org.hibiscususher.core.scheduler.world;

import java.util.List;

/**
 * The advice request in flight; there is at most one.
 *
 * <p>Advice names the executors on which an external service allows a step to run.
 *
 * @param callId id of the call; 0 if no request is in flight
 * @param sentMs when the request was sent, in milliseconds of the steady clock
 * @param executors ids of the executors that the request asks about
 */
public record AdviceRequestRow(long callId, long sentMs, List<String> executors) {
    /** No request in flight. */
    public static final AdviceRequestRow NONE = new AdviceRequestRow(0, 0, List.of());

    /** Copies the list. */
    public AdviceRequestRow {
        executors = List.copyOf(executors);
    }
}
