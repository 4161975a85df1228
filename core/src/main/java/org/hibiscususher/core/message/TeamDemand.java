package org.hibiscususher.core.message;

import static java.util.Objects.requireNonNull;

/**
 * Demand of one team at an entry, in requests.
 *
 * @param team name of the team
 * @param quickWaiting number of quick requests waiting
 * @param quickRunning number of quick requests running
 * @param longWaiting number of long requests waiting
 * @param longRunning number of long requests running
 */
public record TeamDemand(
        String team, int quickWaiting, int quickRunning, int longWaiting, int longRunning) {
    /** Rejects null components. */
    public TeamDemand {
        requireNonNull(team);
    }

    /** Returns the number of quick requests, waiting and running. */
    public int quick() {
        return quickWaiting + quickRunning;
    }

    /** Returns the number of long requests, waiting and running. */
    public int longRuns() {
        return longWaiting + longRunning;
    }

    /** Returns the number of all requests. */
    public int total() {
        return quick() + longRuns();
    }
}
