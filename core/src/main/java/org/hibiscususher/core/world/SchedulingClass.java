package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.config.QueueKind;

/**
 * Names the requests that wait for, or use, the same kinds of permits.
 *
 * @param state where they stand
 * @param kind how long they run
 * @param pool where they run
 * @param team whose they are
 */
public record SchedulingClass(RequestState state, QueueKind kind, String pool, String team) {
    /** Checks the fields. */
    public SchedulingClass {
        requireNonNull(state);
        requireNonNull(kind);
        requireNonNull(pool);
        requireNonNull(team);
    }
}
