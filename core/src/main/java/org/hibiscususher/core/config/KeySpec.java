package org.hibiscususher.core.config;

import static java.util.Objects.requireNonNull;

/**
 * Declares a key that lets its holders hand in work for a team.
 *
 * @param id unique name, safe to show
 * @param team the team
 * @param digest digest of the secret
 */
public record KeySpec(String id, String team, KeyDigest digest) {
    /** Checks the fields. */
    public KeySpec {
        requireNonNull(id);
        requireNonNull(team);
        requireNonNull(digest);
    }
}
