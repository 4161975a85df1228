package org.hibiscususher.core.world;

import java.util.Optional;
import java.util.UUID;

/**
 * An idempotency key: a UUID of version 7 (RFC 9562), which contains the time of its creation.
 *
 * <p>The team is not part of the key: if an access key were moved to another team between two
 * sendings of a request, the second would otherwise count as new and the request would run twice.
 *
 * @param high first 64 bits
 * @param low last 64 bits
 */
public record IdempotencyKey(long high, long low) {
    private static final int TEXT_LENGTH = 36;
    private static final int TIME_ORDERED_VERSION = 7;
    private static final int RFC_9562_VARIANT = 2;

    /** Bits below the time stamp in the first 64 bits. */
    private static final int TIME_SHIFT_BITS = 16;

    /** Parses a key; returns empty if the text is not a UUID of version 7. */
    public static Optional<IdempotencyKey> parse(String text) {
        if (text.length() != TEXT_LENGTH) {
            return Optional.empty();
        }
        try {
            UUID id = UUID.fromString(text);
            boolean timeOrdered =
                    id.version() == TIME_ORDERED_VERSION && id.variant() == RFC_9562_VARIANT;
            return timeOrdered
                    ? Optional.of(
                            new IdempotencyKey(
                                    id.getMostSignificantBits(), id.getLeastSignificantBits()))
                    : Optional.empty();
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /**
     * Returns when the caller created the key, in milliseconds since 1970 of the caller's clock.
     */
    public long timeMs() {
        return high >>> TIME_SHIFT_BITS;
    }

    /** Returns the name that is hashed to choose the key's coordinator. */
    public String hashedName() {
        return "once:" + Long.toHexString(high) + Long.toHexString(low);
    }
}
