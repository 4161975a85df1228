package org.hibiscususher.core.scheduler.world;

/** Whether a task of an activated step runs. */
public enum TaskState {
    /** No run of it is in progress. */
    WAITING,
    /** A run of it is in progress, or may be. */
    ACTIVE
}
