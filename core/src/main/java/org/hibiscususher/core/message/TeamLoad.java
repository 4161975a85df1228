package org.hibiscususher.core.message;

import static java.util.Objects.requireNonNull;

/**
 * Work of one team that runs in a pool.
 *
 * @param team the team
 * @param quick quick requests
 * @param longRuns long requests
 */
public record TeamLoad(String team, int quick, int longRuns) {
    /** Checks the fields. */
    public TeamLoad {
        requireNonNull(team);
    }
}
