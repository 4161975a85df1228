package org.hibiscususher.core.escrow;

/** Times of the messages between entries and allocators. */
final class EscrowTiming {
    /** Time after which what has not been acknowledged is sent again, in milliseconds. */
    static final int RESEND_MS = 60;

    /** Time after which a member that owes a claim is asked again, in milliseconds. */
    static final int ASK_AGAIN_MS = 100;

    /** Shortest time between two reports of changed demand or load, in milliseconds. */
    static final int REPORT_MS = 20;

    /** Shortest time between two messages of changed dues, in milliseconds. */
    static final int DUES_MS = 50;

    /** Time after which an unchanged report is repeated, in milliseconds. */
    static final int REFRESH_MS = 300;

    /** Time after which a report that was not repeated no longer counts, in milliseconds. */
    static final int EXPIRY_MS = 1_000;

    private EscrowTiming() {}
}
