package org.hibiscususher.core.world;

/**
 * A pending call to the platform's store.
 *
 * @param callId id of the call
 * @param sinceMs when it was sent, in milliseconds of the tick clock
 */
public record StoreCallRow(long callId, long sinceMs) {}
