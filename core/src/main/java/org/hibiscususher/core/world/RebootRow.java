package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.message.RebootResult;

/**
 * A reboot that this entry has asked the platform for.
 *
 * @param token names the reboot
 * @param result what is known of the newest call
 * @param sentMs when the newest call was sent, in milliseconds of the caller's clock, -1 if never
 */
public record RebootRow(String token, RebootResult result, long sentMs) {
    /** Checks the fields. */
    public RebootRow {
        requireNonNull(token);
        requireNonNull(result);
    }

    /** Returns a copy after a call was answered. */
    public RebootRow withResult(RebootResult value) {
        return new RebootRow(token, value, sentMs);
    }
}
