package org.hibiscususher.core.world;

/**
 * A call of the platform's store that a system waits for.
 *
 * @param callId the call
 * @param sinceMs when it was made, in milliseconds of the caller's clock
 */
public record StoreCallRow(long callId, long sinceMs) {}
