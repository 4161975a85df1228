package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.config.QueueKind;

/**
 * Identifies requests that need the same permits and are in the same state, so that they are
 * counted and ordered as one.
 *
 * @param state the state of the requests
 * @param kind the kind of their queues
 * @param pool the pool in which they run
 * @param team the team to which they are charged
 */
public record SchedulingClass(RequestState state, QueueKind kind, String pool, String team) {
    /** Rejects null components. */
    public SchedulingClass {
        requireNonNull(state);
        requireNonNull(kind);
        requireNonNull(pool);
        requireNonNull(team);
    }
}
