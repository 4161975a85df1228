package org.hibiscususher.standin.scheduler;

/** What must hold for jobs whatever fails. */
public enum SchedulerInvariant {
    /** A task never runs twice at a time on executors that are up. */
    ONE_RUN_AT_A_TIME,
    /** A task whose end was acknowledged as done does not start again. */
    FINISHED_TASK_NOT_RERUN,
    /** A step starts only after the steps that it waits for. */
    STEP_DEPENDENCIES,
    /** A task starts at most as often as failed runs allow. */
    ATTEMPT_LIMIT,
    /** A team never has more running than its limit. */
    TEAM_LIMIT,
    /** An executor is never told to run more than it can. */
    EXECUTOR_CAPACITY,
    /** Nothing of a cancelled job starts later than some seconds after the answer. */
    NO_START_AFTER_CANCELLATION,
    /** A job that is shown as done is done. */
    REPORTED_DONE_IS_DONE,
    /** An accepted job is known for good. */
    ACCEPTED_JOB_NOT_LOST,
    /** A job that was only refused never runs. */
    REJECTED_JOB_NEVER_RUNS,
    /** At most the cap's number of a wave's hosts is away. */
    WAVE_HOST_LIMIT,
    /** Two entries never give orders for the same host within the time of a lease. */
    ONE_COORDINATOR_PER_HOST,
    /** A draining executor gets no new runs. */
    NO_START_ON_DRAINING_EXECUTOR
}
