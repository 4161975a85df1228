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
    DOWN,
    /** The platform says nothing of the host's state that is known here. */
    UNKNOWN;

    /** Returns whether what runs on the host may go on running. */
    public boolean mayRunTasks() {
        return this == UP || this == UNKNOWN;
    }
}
