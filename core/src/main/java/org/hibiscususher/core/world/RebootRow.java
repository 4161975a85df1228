package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.message.RebootResult;

/**
 * A reboot that this entry has requested from the platform.
 *
 * @param token identifies the reboot
 * @param result result of the newest call; {@code UNKNOWN} before there is one
 * @param sentMs when the newest call was sent, in milliseconds of the tick clock, -1 if never
 */
public record RebootRow(String token, RebootResult result, long sentMs) {
    /** Rejects null components. */
    public RebootRow {
        requireNonNull(token);
        requireNonNull(result);
    }

    /** Returns a copy with the result of a call. */
    public RebootRow withResult(RebootResult value) {
        return new RebootRow(token, value, sentMs);
    }
}
