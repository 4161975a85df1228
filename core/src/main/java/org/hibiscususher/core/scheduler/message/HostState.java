package org.hibiscususher.core.scheduler.message;

/** The state of a host, as listed by the platform. */
public enum HostState {
    /** The host is in service. */
    UP,
    /** The host is being moved to another pool. */
    MOVING,
    /** The host is under maintenance. */
    MAINTENANCE,
    /** The host is down. */
    DOWN
}
