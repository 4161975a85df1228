package org.hibiscususher.core.scheduler.world;

/** What a commit is for. */
public enum CommitPurpose {
    /** Writes records of jobs, executors and waves. */
    RECORDS,
    /** Gives the ownership up. */
    RELEASE
}
