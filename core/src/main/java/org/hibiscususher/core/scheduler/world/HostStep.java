package org.hibiscususher.core.scheduler.world;

/** What is under way with a host. */
public enum HostStep {
    /** It is being emptied. */
    EMPTYING,
    /** The order was sent. */
    ORDERED,
    /** The order was carried out; the host is not back yet. */
    AWAY
}
