package org.hibiscususher.standin.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.RunOutcome;
import org.hibiscususher.core.job.StepKey;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.job.TaskKey;

/**
 * Records what callers, executors and hosts of a simulated site observe, and checks it against the
 * {@link SchedulerInvariant}s. It sees only these observations and none of the scheduler's tables,
 * so that a fault in the tables can't hide a violation.
 */
public final class InvariantChecker {
    /** Time after an order for a host in which no other entry may give one, in milliseconds. */
    private static final long HOST_COORDINATOR_MS = 3_000;

    /**
     * Time after a confirmed cancellation in which runs may still start, in milliseconds; their
     * orders may already have been on the way.
     */
    private static final long CANCELLATION_GRACE_MS = 3_000;

    private final List<InvariantViolation> mViolations = new ArrayList<>();

    /** Executors that run each task now. */
    private final Map<TaskKey, Set<String>> mRunning = new HashMap<>();

    private final Map<TaskKey, Integer> mFailedRuns = new HashMap<>();
    private final Set<TaskKey> mDoneTasks = new HashSet<>();
    private final Set<TaskKey> mAcknowledgedTasks = new HashSet<>();
    private final Map<String, JobSpec> mSpecs = new HashMap<>();
    private final Map<String, String> mTeams = new HashMap<>();

    /** Number of failed runs after which a task must not start again, by job. */
    private final Map<String, Integer> mMaxFailures = new HashMap<>();

    private final Set<String> mAcceptedJobs = new HashSet<>();
    private final Set<String> mRejectedJobs = new HashSet<>();
    private final Set<String> mUncertainJobs = new HashSet<>();

    /** Jobs with a submission that has no response yet. */
    private final Set<String> mAwaitedJobs = new HashSet<>();

    private final Set<String> mStartedJobs = new HashSet<>();

    /** Virtual time at which each cancellation was first confirmed, by job. */
    private final Map<String, Long> mCancelledAtMs = new HashMap<>();

    /** Total demand of the running tasks, by team. */
    private final Map<String, Resources> mTeamUse = new HashMap<>();

    private final Map<String, Resources> mTeamLimits = new HashMap<>();
    private final Map<String, HostCoordinator> mHostCoordinators = new HashMap<>();

    /** Virtual time from which no run may start in an evacuated zone, by zone. */
    private final Map<String, Long> mEvacuatedFromMs = new HashMap<>();

    /**
     * The last entry that ordered the maintenance of a host.
     *
     * @param entry name of the entry
     * @param orderedMs virtual time of the order, in milliseconds
     */
    private record HostCoordinator(String entry, long orderedMs) {}

    /**
     * Sets the resources that the running tasks of a team may demand in total. A team without a
     * limit may run nothing.
     */
    public void setTeamLimit(String team, Resources limit) {
        mTeamLimits.put(team, limit);
    }

    /**
     * Records a job before its first submission.
     *
     * @param job job id
     * @param team team of the caller
     * @param maxFailures number of failed runs after which a task must not start again
     */
    public void recordSubmission(String job, JobSpec spec, String team, int maxFailures) {
        mSpecs.put(job, spec);
        mTeams.put(job, team);
        mMaxFailures.put(job, maxFailures);
    }

    /** Records that a submission is sent. Until its response, the job may run. */
    public void recordRequest(String job) {
        mAwaitedJobs.add(job);
    }

    /**
     * Records the response to a submission, and checks that a rejected job has not run. After
     * {@link JobResponseKind#UNKNOWN}, the job may run or not.
     */
    public void recordResponse(String job, JobResponseKind kind, long nowMs) {
        mAwaitedJobs.remove(job);
        switch (kind) {
            case ACCEPTED -> mAcceptedJobs.add(job);
            case UNKNOWN -> mUncertainJobs.add(job);
            default -> mRejectedJobs.add(job);
        }
        if (isAlwaysRejected(job) && mStartedJobs.contains(job)) {
            addViolation(SchedulerInvariant.REJECTED_JOB_NEVER_RUNS, nowMs, job);
        }
    }

    private boolean isAlwaysRejected(String job) {
        return mRejectedJobs.contains(job)
                && !mAcceptedJobs.contains(job)
                && !mUncertainJobs.contains(job);
    }

    /** Records that the cancellation of a job was confirmed. */
    public void recordCancellation(String job, long nowMs) {
        mCancelledAtMs.putIfAbsent(job, nowMs);
    }

    /** Checks a job state that was reported to a caller. */
    public void checkReportedState(String job, JobState state, long nowMs) {
        if (state != JobState.DONE) {
            return;
        }
        JobSpec spec = mSpecs.get(job);
        for (int occurrence = 0; occurrence < spec.occurrences(); occurrence++) {
            for (int step = 0; step < spec.steps().size(); step++) {
                if (!isStepDone(new StepKey(job, occurrence, step))) {
                    addViolation(SchedulerInvariant.REPORTED_DONE_IS_DONE, nowMs, job);
                }
            }
        }
    }

    /** Checks a response to a caller that a job is unknown. */
    public void checkUnknownJob(String job, long nowMs) {
        if (mAcceptedJobs.contains(job)) {
            addViolation(SchedulerInvariant.ACCEPTED_JOB_NOT_LOST, nowMs, job);
        }
    }

    /** Forbids starts in a zone from a virtual time on. */
    public void forbidStartsInZone(String zone, long fromMs) {
        mEvacuatedFromMs.put(zone, fromMs);
    }

    /** Allows starts in a zone again. */
    public void allowStartsInZone(String zone) {
        mEvacuatedFromMs.remove(zone);
    }

    /** Checks that a run may start in the zone of its executor. */
    public void checkStartInZone(TaskKey task, String zone, long nowMs) {
        if (nowMs > mEvacuatedFromMs.getOrDefault(zone, Long.MAX_VALUE)) {
            addViolation(SchedulerInvariant.NO_START_IN_EVACUATED_ZONE, nowMs, task.text());
        }
    }

    /**
     * Records a run that an executor starts, and checks that it may start.
     *
     * @param draining whether the executor drains
     */
    public void recordStart(TaskKey task, String executor, boolean draining, long nowMs) {
        String job = task.jobId();
        JobSpec spec = mSpecs.get(job);
        StepSpec step = spec.steps().get(task.stepKey().step());
        Set<String> executors = mRunning.computeIfAbsent(task, t -> new HashSet<>());
        if (!executors.isEmpty()) {
            String detail = task.text() + " on " + executors + " and " + executor;
            addViolation(SchedulerInvariant.ONE_RUN_AT_A_TIME, nowMs, detail);
        }
        executors.add(executor);
        if (mAcknowledgedTasks.contains(task)) {
            addViolation(SchedulerInvariant.FINISHED_TASK_NOT_RERUN, nowMs, task.text());
        }
        for (int dependency : step.dependsOn()) {
            if (!isStepDone(task.stepKey().sibling(dependency))) {
                addViolation(SchedulerInvariant.STEP_DEPENDENCIES, nowMs, task.text());
            }
        }
        if (!step.service() && mFailedRuns.getOrDefault(task, 0) >= mMaxFailures.get(job)) {
            addViolation(SchedulerInvariant.ATTEMPT_LIMIT, nowMs, task.text());
        }
        if (nowMs - mCancelledAtMs.getOrDefault(job, nowMs) > CANCELLATION_GRACE_MS) {
            addViolation(SchedulerInvariant.NO_START_AFTER_CANCELLATION, nowMs, task.text());
        }
        mStartedJobs.add(job);
        if (isAlwaysRejected(job) && !mAwaitedJobs.contains(job)) {
            addViolation(SchedulerInvariant.REJECTED_JOB_NEVER_RUNS, nowMs, task.text());
        }
        if (draining) {
            addViolation(SchedulerInvariant.NO_START_ON_DRAINING_EXECUTOR, nowMs, task.text());
        }
        addTeamUse(task, step.demand(), nowMs);
    }

    /** Adds the demand of a started task to its team's use, and checks the team's limit. */
    private void addTeamUse(TaskKey task, Resources demand, long nowMs) {
        String team = mTeams.get(task.jobId());
        Resources use = mTeamUse.getOrDefault(team, Resources.NONE).plus(demand);
        mTeamUse.put(team, use);
        if (!use.staysWithin(mTeamLimits.getOrDefault(team, Resources.NONE))) {
            addViolation(SchedulerInvariant.TEAM_LIMIT, nowMs, team + " uses " + use);
        }
    }

    /** Checks the resources that an executor reserves for its runs against its capacity. */
    public void checkReservation(
            String executor, Resources reserved, Resources capacity, long nowMs) {
        if (!reserved.fitsIn(capacity)) {
            addViolation(
                    SchedulerInvariant.EXECUTOR_CAPACITY,
                    nowMs,
                    executor + " reserves " + reserved);
        }
    }

    /**
     * Checks the number of hosts of a wave that are out of service at once.
     *
     * @param maxHosts greatest number that the wave allows
     */
    public void checkHostsOutOfService(int hosts, int maxHosts, long nowMs) {
        if (hosts > maxHosts) {
            addViolation(
                    SchedulerInvariant.WAVE_HOST_LIMIT, nowMs, hosts + " hosts are out of service");
        }
    }

    /** Records that an entry ordered the maintenance of a host. */
    public void recordHostOrder(String host, String entry, long nowMs) {
        HostCoordinator previous = mHostCoordinators.put(host, new HostCoordinator(entry, nowMs));
        if (previous != null
                && !previous.entry().equals(entry)
                && nowMs - previous.orderedMs() < HOST_COORDINATOR_MS) {
            addViolation(
                    SchedulerInvariant.ONE_COORDINATOR_PER_HOST,
                    nowMs,
                    host + " was ordered by " + entry + " shortly after " + previous.entry());
        }
    }

    /**
     * Records the end of a run.
     *
     * @param outcome outcome of the run; empty if it was killed with its executor
     */
    public void recordEnd(TaskKey task, String executor, Optional<RunOutcome> outcome) {
        Set<String> executors = mRunning.getOrDefault(task, new HashSet<>());
        if (executors.remove(executor)) {
            StepSpec step = mSpecs.get(task.jobId()).steps().get(task.stepKey().step());
            mTeamUse.merge(mTeams.get(task.jobId()), step.demand(), Resources::minus);
        }
        outcome.filter(o -> o == RunOutcome.DONE).ifPresent(o -> mDoneTasks.add(task));
        outcome.filter(o -> o == RunOutcome.FAILED)
                .ifPresent(o -> mFailedRuns.merge(task, 1, Integer::sum));
    }

    /** Records that the scheduler acknowledged a run of a task as done to the run's executor. */
    public void recordAcknowledgment(TaskKey task) {
        mAcknowledgedTasks.add(task);
    }

    /** Returns whether each task of a step has a run that ended as done. */
    private boolean isStepDone(StepKey key) {
        int tasks = mSpecs.get(key.jobId()).steps().get(key.step()).count();
        for (int i = 0; i < tasks; i++) {
            if (!mDoneTasks.contains(key.task(i))) {
                return false;
            }
        }
        return true;
    }

    private void addViolation(SchedulerInvariant invariant, long nowMs, String detail) {
        mViolations.add(new InvariantViolation(invariant, nowMs, detail));
    }

    /** Returns the ids of the jobs that were accepted. */
    public Set<String> acceptedJobs() {
        return Set.copyOf(mAcceptedJobs);
    }

    /** Returns the violations found so far, in order of time. */
    public List<InvariantViolation> violations() {
        return List.copyOf(mViolations);
    }
}
