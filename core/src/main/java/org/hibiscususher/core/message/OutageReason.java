package org.hibiscususher.core.message;

/** Why a host is taken out of service. */
public enum OutageReason {
    /** It is rebooted in a maintenance wave. */
    WAVE,
    /** It moves to another pool. */
    MOVE
}
