package org.hibiscususher.core.world;

/**
 * A request whose caller waits no longer while a target may be busy with it.
 *
 * @param requestId the request
 * @param endsByMs when its longest run time is over, in milliseconds of the caller's clock
 */
public record AbandonedRequestRow(long requestId, long endsByMs) {}
