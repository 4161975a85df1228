package org.hibiscususher.core.scheduler.world;

/** The purpose of a commit. */
public enum CommitPurpose {
    /** Writes or removes records of jobs, executors, hosts and waves. */
    RECORDS,
    /** Writes the last records together with the end of this process's term. */
    RELEASE
}
