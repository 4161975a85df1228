package org.hibiscususher.core.scheduler.world;

/** Where a task of a step whose turn has come stands. */
public enum TaskState {
    /** No run of it is under way. */
    WAITING,
    /** A run of it is under way, or may be. */
    ACTIVE
}
