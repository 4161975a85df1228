package org.hibiscususher.core.scheduler.world;

/** Why a run is being stopped. */
public enum StopReason {
    /** It is not being stopped. */
    NONE,
    /** Its start order got no answer, so it may or may not be on the executor. */
    UNCERTAIN_START,
    /** Its job has ended, or another run has completed its task. */
    JOB_ENDED,
    /** Its executor is draining, or its host is to be maintained or moved. */
    EVICTED,
    /** It makes no progress or is far slower than estimated. */
    STALLED,
    /** Urgent work needs its capacity. */
    PREEMPTED
}
