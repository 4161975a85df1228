package org.hibiscususher.core.scheduler.world;

/**
 * How the store answers.
 *
 * @param reachedMs when a commit last took effect
 * @param failedMs when a commit last failed
 */
public record StoreRow(long reachedMs, long failedMs) {}
