package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

/**
 * The notes that were last relayed to a member.
 *
 * @param memberId the member
 * @param revision newest revision relayed
 * @param sentMs when, in milliseconds of the caller's clock
 */
public record RelayRow(String memberId, long revision, long sentMs) {
    /** Checks the fields. */
    public RelayRow {
        requireNonNull(memberId);
    }
}
