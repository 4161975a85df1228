package org.hibiscususher.core.scheduler.message;

/** What the platform says of a host. */
public enum HostState {
    /** The host is up. */
    UP,
    /** The host is on its way to another pool. */
    MOVING,
    /** The host is under maintenance. */
    MAINTENANCE,
    /** The host is down. */
    DOWN
}
