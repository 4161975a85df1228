package org.hibiscususher.core.scheduler.world;

import java.util.List;

/**
 * The request for advice that is awaited; there is at most one.
 *
 * @param callId the call; 0 for none
 * @param sentMs when it was sent
 * @param executors executors that it asks for
 */
public record AdviceRequestRow(long callId, long sentMs, List<String> executors) {
    /** No request. */
    public static final AdviceRequestRow NONE = new AdviceRequestRow(0, 0, List.of());

    /** Copies the list. */
    public AdviceRequestRow {
        executors = List.copyOf(executors);
    }
}
