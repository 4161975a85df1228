package org.hibiscususher.core.world;

import java.util.Optional;
import java.util.UUID;

/**
 * An idempotency key: a UUID of version 7 (RFC 9562), which carries its time.
 *
 * <p>The team is no part of it: a key of access that moves to another team between two sendings
 * must not make a second run of the first.
 *
 * @param high first 64 bits
 * @param low last 64 bits
 */
public record IdempotencyKey(long high, long low) {
    private static final int TEXT_LENGTH = 36;
    private static final int TIME_ORDERED_VERSION = 7;
    private static final int RFC_VARIANT = 2;
    private static final int TIME_SHIFT = 16;

    /** Returns the key that a text stands for, or empty if it is no UUID of version 7. */
    public static Optional<IdempotencyKey> parse(String text) {
        if (text.length() != TEXT_LENGTH) {
            return Optional.empty();
        }
        try {
            UUID id = UUID.fromString(text);
            boolean ordered = id.version() == TIME_ORDERED_VERSION && id.variant() == RFC_VARIANT;
            return ordered
                    ? Optional.of(
                            new IdempotencyKey(
                                    id.getMostSignificantBits(), id.getLeastSignificantBits()))
                    : Optional.empty();
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** Returns when the caller made the key, in milliseconds since 1970 of the caller's clock. */
    public long timeMs() {
        return high >>> TIME_SHIFT;
    }

    /** Returns the name by which the key's home is chosen. */
    public String hashedName() {
        return "once:" + Long.toHexString(high) + Long.toHexString(low);
    }
}
