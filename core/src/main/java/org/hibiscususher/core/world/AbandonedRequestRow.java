package org.hibiscususher.core.world;

/**
 * A request that has ended for its caller while its target may still be busy with it, so that its
 * permits stay in use.
 *
 * @param requestId the request
 * @param endsByMs time on the tick clock at which the run counts as over even if the target has not
 *     finished it, in milliseconds
 */
public record AbandonedRequestRow(long requestId, long endsByMs) {}
