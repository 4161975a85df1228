package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

/**
 * The key of the tasks of one pool that are in one state.
 *
 * @param pool pool name
 * @param state whether runs of the tasks are in progress
 */
public record TaskGroup(String pool, TaskState state) {
    /** Rejects null components. */
    public TaskGroup {
        requireNonNull(pool);
        requireNonNull(state);
    }
}
