package org.hibiscususher.core.scheduler.world;

/**
 * The renewal of the ownership's lease that is awaited.
 *
 * @param callId store call; 0 for none
 * @param sentMs when the last one was sent
 */
public record LeaseRenewalRow(long callId, long sentMs) {}
