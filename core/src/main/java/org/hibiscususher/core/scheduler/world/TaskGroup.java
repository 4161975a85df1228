package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

/**
 * The tasks of a pool that are in one state.
 *
 * @param pool pool
 * @param state state
 */
public record TaskGroup(String pool, TaskState state) {
    /** Checks the parts. */
    public TaskGroup {
        requireNonNull(pool);
        requireNonNull(state);
    }
}
