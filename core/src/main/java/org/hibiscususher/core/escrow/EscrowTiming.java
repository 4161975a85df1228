package org.hibiscususher.core.escrow;

/** Intervals of the messages between entries and allocators. */
final class EscrowTiming {
    /** Time after which an unacknowledged grant or return is resent, in milliseconds. */
    static final int RESEND_INTERVAL_MS = 60;

    /** Time after which a missing claim is requested or sent again, in milliseconds. */
    static final int CLAIM_RETRY_MS = 100;

    /** Least time between two reports of changed demand, in milliseconds. */
    static final int REPORT_INTERVAL_MS = 20;

    /** Least time between two messages about changed entitlements, in milliseconds. */
    static final int ENTITLEMENT_INTERVAL_MS = 50;

    /** Time after which unchanged demand, targets or entitlements are resent, in milliseconds. */
    static final int REFRESH_INTERVAL_MS = 300;

    /** Time after which demand that was not reported again is dropped, in milliseconds. */
    static final int DEMAND_EXPIRY_MS = 1_000;

    private EscrowTiming() {}
}
