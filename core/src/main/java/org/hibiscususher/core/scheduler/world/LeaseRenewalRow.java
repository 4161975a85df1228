package org.hibiscususher.core.scheduler.world;

/**
 * The renewal of the owner's lease.
 *
 * @param callId id of the renewal in flight; 0 for none
 * @param sentMs when the last renewal was sent, in milliseconds of the steady clock; a renewed
 *     lease lasts from then
 */
public record LeaseRenewalRow(long callId, long sentMs) {}
