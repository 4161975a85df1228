package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.scheduler.placement.StartPriority;

/**
 * The tasks of one job that wait for executors.
 *
 * @param priority order in which they start
 * @param coreMicros estimated work of the tasks, in core-microseconds
 */
public record QueuedWork(StartPriority priority, long coreMicros) {
    /** Rejects null components. */
    public QueuedWork {
        requireNonNull(priority);
    }
}
