package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

/**
 * The latest relay of notes to a member, so that it is not repeated too soon.
 *
 * @param memberId the member
 * @param revision newest revision that was relayed
 * @param sentMs when it was sent, in milliseconds of the tick clock
 */
public record RelayRow(String memberId, long revision, long sentMs) {
    /** Rejects null components. */
    public RelayRow {
        requireNonNull(memberId);
    }
}
