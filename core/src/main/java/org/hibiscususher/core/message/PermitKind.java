package org.hibiscususher.core.message;

/** The kinds of permits held in escrow. */
public enum PermitKind {
    /** The right to run one request on one host's executor; allocated per pool. */
    SLOT,
    /** The right of one team to have one request running anywhere; allocated per team. */
    UNIT,
    /** The right to run one long request in one pool; allocated per pool. */
    LONG_RUN
}
