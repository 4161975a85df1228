package org.hibiscususher.core.scheduler.world;

/** What happens to the connections of callers. */
public enum ConnectionStage {
    /** Connections are accepted and kept open. */
    OPEN,

    /** None is accepted; an open one closes as soon as its requests are answered. */
    DRAINING,

    /** All are closed. */
    DRAINED
}
