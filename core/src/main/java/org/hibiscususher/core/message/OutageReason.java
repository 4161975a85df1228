package org.hibiscususher.core.message;

/** Why a host is taken out of service. */
public enum OutageReason {
    /** It reboots in a maintenance wave. */
    WAVE,
    /** It goes to another pool. */
    MOVE
}
