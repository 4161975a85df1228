package org.hibiscususher.core.scheduler.world;

/** Why a run is stopped. */
public enum StopReason {
    /** It is not stopped. */
    NONE,
    /** The order to start it was not answered. */
    UNCERTAIN_START,
    /** The job has come to its end. */
    JOB_ENDED,
    /** The executor or its host is leaving. */
    EVICTED,
    /** The run makes no progress. */
    STALLED,
    /** Urgent work needs the room. */
    PREEMPTED
}
