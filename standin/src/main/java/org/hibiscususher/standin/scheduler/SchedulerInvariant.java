package org.hibiscususher.standin.scheduler;

/** Invariants of the scheduler that must hold under any combination of simulated faults. */
public enum SchedulerInvariant {
    /** A task never has two concurrent runs on executors that are up. */
    ONE_RUN_AT_A_TIME,
    /** A task does not start again after the scheduler acknowledged a run of it as done. */
    FINISHED_TASK_NOT_RERUN,
    /** A step starts only after all steps that it depends on are done. */
    STEP_DEPENDENCIES,
    /**
     * A task that is no service does not start again after as many failed runs as its job allows.
     */
    ATTEMPT_LIMIT,
    /** The running tasks of a team never demand more resources than the team's limit. */
    TEAM_LIMIT,
    /** An executor never reserves more resources than its capacity. */
    EXECUTOR_CAPACITY,
    /** No task of a job starts more than three seconds after its cancellation was confirmed. */
    NO_START_AFTER_CANCELLATION,
    /** A job that a caller sees as done has no unfinished task. */
    REPORTED_DONE_IS_DONE,
    /** No entry reports an accepted job as unknown. */
    ACCEPTED_JOB_NOT_LOST,
    /** A job never runs if each submission of it was rejected. */
    REJECTED_JOB_NEVER_RUNS,
    /** No more hosts of a maintenance wave are out of service at once than the wave allows. */
    WAVE_HOST_LIMIT,
    /** Two entries never order the maintenance of the same host within three seconds. */
    ONE_COORDINATOR_PER_HOST,
    /** No run starts on a draining executor. */
    NO_START_ON_DRAINING_EXECUTOR,
    /** No run starts in an evacuated zone later than the test allows. */
    NO_START_IN_EVACUATED_ZONE
}
