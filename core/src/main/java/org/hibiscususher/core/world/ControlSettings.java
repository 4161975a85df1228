package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

/**
 * The configurable times and limits of the control state.
 *
 * @param heartbeatMs longest time between two messages to another member, in milliseconds, 1 or
 *     more; longer in a large fleet
 * @param silenceMs time without a message after which a member counts as silent, in milliseconds, 1
 *     or more
 * @param freshnessMs age of the newest proof that the configuration is current above which an entry
 *     admits no requests, in milliseconds, 1 or more
 * @param rollOutWaitMs longest time that an operator's call waits for a note to be in force, in
 *     milliseconds, 1 or more
 * @param maxAttempts largest number of attempts of a request, 1 or more
 * @param pauseMs time between two ticks above which the process counts as having been paused, in
 *     milliseconds, 1 or more; proofs from before the pause are then dropped
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
    /** The default settings. */
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

    /** Rejects null policies and numbers less than 1. */
    public ControlSettings {
        requireNonNull(lendPolicy);
        requireNonNull(escrowPolicy);
        if (heartbeatMs < 1
                || silenceMs < 1
                || freshnessMs < 1
                || rollOutWaitMs < 1
                || maxAttempts < 1
                || pauseMs < 1) {
            throw new IllegalArgumentException("times and limits must be 1 or more");
        }
    }

    /** Returns a copy with another policy for lending hosts. */
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

    /** Returns a copy with another policy for sharing permits. */
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
