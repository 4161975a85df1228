package org.hibiscususher.core.config;

import static java.util.Objects.requireNonNull;

/**
 * Declares an access key, whose holders may submit requests for a team.
 *
 * @param id unique name of the key; not secret
 * @param team id of the team for which the requests run
 * @param digest digest of the key's secret
 */
public record KeySpec(String id, String team, KeyDigest digest) {
    /** Checks that no field is null. */
    public KeySpec {
        requireNonNull(id);
        requireNonNull(team);
        requireNonNull(digest);
    }
}
