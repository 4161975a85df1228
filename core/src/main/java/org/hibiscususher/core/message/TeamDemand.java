package org.hibiscususher.core.message;

import static java.util.Objects.requireNonNull;

/**
 * Work of one team that an entry has at hand.
 *
 * @param team the team
 * @param quickWaiting quick requests waiting
 * @param quickRunning quick requests running
 * @param longWaiting long requests waiting
 * @param longRunning long requests running
 */
public record TeamDemand(
        String team, int quickWaiting, int quickRunning, int longWaiting, int longRunning) {
    /** Checks the fields. */
    public TeamDemand {
        requireNonNull(team);
    }

    /** Returns the quick requests, waiting and running. */
    public int quick() {
        return quickWaiting + quickRunning;
    }

    /** Returns the long requests, waiting and running. */
    public int longRuns() {
        return longWaiting + longRunning;
    }

    /** Returns all requests. */
    public int total() {
        return quick() + longRuns();
    }
}
