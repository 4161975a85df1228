package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.job.StepKey;

/**
 * The key of the tasks of one step that are in one state.
 *
 * <p>The tasks of a step have the same demand and priority, so that decisions on all waiting tasks
 * look at each step once.
 *
 * @param pool pool name
 * @param state whether runs of the tasks are in progress
 * @param uncertain whether runs that an earlier owner started may be in progress
 * @param step key of the step
 */
public record TaskGroup(String pool, TaskState state, boolean uncertain, StepKey step) {
    /** Rejects null components. */
    public TaskGroup {
        requireNonNull(pool);
        requireNonNull(state);
        requireNonNull(step);
    }

    /** Returns whether the tasks wait in a pool, whether certain or not. */
    boolean isWaitingIn(String name) {
        return state == TaskState.WAITING && pool.equals(name);
    }
}
