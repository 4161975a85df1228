package org.hibiscususher.standin.scheduler;

/** What must hold for jobs whatever fails. */
public enum SchedulerPromise {
    /** A task never runs twice at a time on executors that are up. */
    ONE_RUN_AT_A_TIME,
    /** A task whose end was acknowledged as done does not start again. */
    DONE_STAYS_DONE,
    /** A step starts only after the steps that it waits for. */
    STEP_ORDER,
    /** A task starts at most as often as failed runs allow. */
    ATTEMPTS,
    /** A team never has more running than its limit. */
    TEAM_LIMIT,
    /** An executor is never told to run more than it can. */
    CAPACITY,
    /** Nothing of a cancelled job starts later than some seconds after the answer. */
    CANCELLED_STAYS_CANCELLED,
    /** A job that is shown as done is done. */
    SHOWN_DONE_IS_DONE,
    /** An accepted job is known for good. */
    ACCEPTED_IS_KEPT,
    /** A job that was only refused never runs. */
    REFUSED_NEVER_RUNS,
    /** At most the cap's number of a wave's hosts is away. */
    WAVE_CAP,
    /** Two entries never give orders for the same host within the time of a lease. */
    ONE_HOLDER_A_HOST,
    /** A draining executor gets no new runs. */
    DRAINING_GETS_NOTHING
}
