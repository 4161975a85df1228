package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

/**
 * Times and limits of the decisions.
 *
 * @param heartbeatMs longest time between two messages to a peer, in milliseconds
 * @param silenceMs a peer that was not heard for this long is silent, in milliseconds
 * @param freshnessMs an entry that can't vouch for this long admits nothing, in milliseconds
 * @param rollOutWaitMs longest wait of an operator for a note to be in force, in milliseconds
 * @param maxAttempts most attempts of a request, 1 or more
 * @param pauseMs a process between whose ticks more time passes was paused, in milliseconds
 * @param lendPolicy when spare pools lend hosts
 * @param escrowPolicy how permits are shared among the entries
 */
public record ControlSettings(
        int heartbeatMs,
        int silenceMs,
        int freshnessMs,
        int rollOutWaitMs,
        int maxAttempts,
        int pauseMs,
        LendPolicy lendPolicy,
        EscrowPolicy escrowPolicy) {
    /** The defaults. */
    public static final ControlSettings DEFAULT =
            new ControlSettings(
                    200,
                    2_000,
                    4_000,
                    15_000,
                    3,
                    1_000,
                    LendPolicy.HYSTERESIS,
                    EscrowPolicy.ESCROW);

    /** Checks that every value is 1 or more. */
    public ControlSettings {
        requireNonNull(lendPolicy);
        requireNonNull(escrowPolicy);
        if (heartbeatMs < 1
                || silenceMs < 1
                || freshnessMs < 1
                || rollOutWaitMs < 1
                || maxAttempts < 1
                || pauseMs < 1) {
            throw new IllegalArgumentException("times and limits are 1 or more");
        }
    }

    /** Returns a copy with another way to lend hosts. */
    public ControlSettings withLendPolicy(LendPolicy value) {
        return new ControlSettings(
                heartbeatMs,
                silenceMs,
                freshnessMs,
                rollOutWaitMs,
                maxAttempts,
                pauseMs,
                value,
                escrowPolicy);
    }

    /** Returns a copy with another way to share permits. */
    public ControlSettings withEscrowPolicy(EscrowPolicy value) {
        return new ControlSettings(
                heartbeatMs,
                silenceMs,
                freshnessMs,
                rollOutWaitMs,
                maxAttempts,
                pauseMs,
                lendPolicy,
                value);
    }

    /** Returns a copy with another bound of freshness, in milliseconds. */
    public ControlSettings withFreshness(int value) {
        return new ControlSettings(
                heartbeatMs,
                silenceMs,
                value,
                rollOutWaitMs,
                maxAttempts,
                pauseMs,
                lendPolicy,
                escrowPolicy);
    }
}
