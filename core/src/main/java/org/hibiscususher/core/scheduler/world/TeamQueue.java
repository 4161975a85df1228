package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

/**
 * A team's submissions to a queue.
 *
 * @param queue name of the queue
 * @param team name of the team
 */
public record TeamQueue(String queue, String team) {
    /** Rejects null components. */
    public TeamQueue {
        requireNonNull(queue);
        requireNonNull(team);
    }
}
