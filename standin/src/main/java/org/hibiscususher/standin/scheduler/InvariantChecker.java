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

/** Checks what callers and executors see against the promises. */
public final class InvariantChecker {
    /** Time in which only one entry may give orders for a host, in milliseconds. */
    private static final long HOLDER_MS = 3_000;

    /** Time after the answer to a cancellation in which runs may still start, in milliseconds. */
    private static final long CANCEL_MS = 3_000;

    private final List<InvariantViolation> mViolations = new ArrayList<>();
    private final Map<TaskKey, Set<String>> mRunning = new HashMap<>();
    private final Map<TaskKey, Integer> mFailed = new HashMap<>();
    private final Set<TaskKey> mDone = new HashSet<>();
    private final Set<TaskKey> mNoted = new HashSet<>();
    private final Map<String, JobSpec> mSpecs = new HashMap<>();
    private final Map<String, String> mTeams = new HashMap<>();
    private final Map<String, Integer> mAttempts = new HashMap<>();
    private final Set<String> mAccepted = new HashSet<>();
    private final Set<String> mRefused = new HashSet<>();
    private final Set<String> mUncertain = new HashSet<>();
    private final Map<String, Long> mCancelled = new HashMap<>();
    private final Map<String, Resources> mTeamUse = new HashMap<>();
    private final Map<String, Resources> mLimits = new HashMap<>();
    private final Map<String, HostHolder> mHolders = new HashMap<>();

    private record HostHolder(String entry, long orderedMs) {}

    /** Sets the most that a team may have running. */
    public void setTeamLimit(String team, Resources limit) {
        mLimits.put(team, limit);
    }

    /** Notes that a caller hands a job in. */
    public void recordSubmission(String job, JobSpec spec, String team, int attempts) {
        mSpecs.put(job, spec);
        mTeams.put(job, team);
        mAttempts.put(job, attempts);
    }

    /** Notes the answer to a job. */
    public void recordResponse(String job, JobResponseKind kind) {
        switch (kind) {
            case ACCEPTED -> mAccepted.add(job);
            case UNKNOWN -> mUncertain.add(job);
            default -> mRefused.add(job);
        }
    }

    /** Notes that a cancellation was answered. */
    public void recordCancellation(String job, long nowMs) {
        mCancelled.putIfAbsent(job, nowMs);
    }

    /** Checks the state that a caller is shown. */
    public void checkReportedState(String job, JobState state, long nowMs) {
        if (state != JobState.DONE) {
            return;
        }
        JobSpec spec = mSpecs.get(job);
        for (int k = 0; k < spec.occurrences(); k++) {
            for (int i = 0; i < spec.steps().size(); i++) {
                if (!isStepDone(new StepKey(job, k, i))) {
                    violate(SchedulerInvariant.REPORTED_DONE_IS_DONE, nowMs, job);
                }
            }
        }
    }

    /** Checks that an accepted job is known. */
    public void checkUnknownJob(String job, long nowMs) {
        if (mAccepted.contains(job)) {
            violate(SchedulerInvariant.ACCEPTED_JOB_NOT_LOST, nowMs, job);
        }
    }

    /** Checks a run that an executor begins. */
    public void recordStart(TaskKey task, String executor, boolean draining, long nowMs) {
        String job = task.jobId();
        JobSpec spec = mSpecs.get(job);
        StepSpec step = spec.steps().get(task.stepKey().step());
        Set<String> running = mRunning.computeIfAbsent(task, t -> new HashSet<>());
        if (!running.isEmpty()) {
            String text = task.text() + " on " + running + " and " + executor;
            violate(SchedulerInvariant.ONE_RUN_AT_A_TIME, nowMs, text);
        }
        running.add(executor);
        if (mNoted.contains(task)) {
            violate(SchedulerInvariant.FINISHED_TASK_NOT_RERUN, nowMs, task.text());
        }
        for (int before : step.dependsOn()) {
            if (!isStepDone(task.stepKey().sibling(before))) {
                violate(SchedulerInvariant.STEP_DEPENDENCIES, nowMs, task.text());
            }
        }
        if (!step.service() && mFailed.getOrDefault(task, 0) >= mAttempts.get(job)) {
            violate(SchedulerInvariant.ATTEMPT_LIMIT, nowMs, task.text());
        }
        if (nowMs - mCancelled.getOrDefault(job, nowMs) > CANCEL_MS) {
            violate(SchedulerInvariant.NO_START_AFTER_CANCELLATION, nowMs, task.text());
        }
        boolean refusedOnly =
                mRefused.contains(job) && !mAccepted.contains(job) && !mUncertain.contains(job);
        if (refusedOnly) {
            violate(SchedulerInvariant.REJECTED_JOB_NEVER_RUNS, nowMs, task.text());
        }
        if (draining) {
            violate(SchedulerInvariant.NO_START_ON_DRAINING_EXECUTOR, nowMs, task.text());
        }
        addTeamUse(task, step.demand(), nowMs);
    }

    private void addTeamUse(TaskKey task, Resources demand, long nowMs) {
        String team = mTeams.get(task.jobId());
        Resources use = mTeamUse.getOrDefault(team, Resources.NONE).plus(demand);
        mTeamUse.put(team, use);
        if (!use.staysWithin(mLimits.getOrDefault(team, Resources.NONE))) {
            violate(SchedulerInvariant.TEAM_LIMIT, nowMs, team + " uses " + use);
        }
    }

    /** Checks what an executor is told to run against what it can. */
    public void checkReservation(
            String executor, Resources reserved, Resources capacity, long nowMs) {
        if (!reserved.fitsIn(capacity)) {
            violate(
                    SchedulerInvariant.EXECUTOR_CAPACITY,
                    nowMs,
                    executor + " reserves " + reserved);
        }
    }

    /** Checks how many hosts of a wave are away. */
    public void checkHostsOutOfService(int hosts, int cap, long nowMs) {
        if (hosts > cap) {
            violate(SchedulerInvariant.WAVE_HOST_LIMIT, nowMs, hosts + " hosts are away");
        }
    }

    /** Notes that an entry gives an order for a host. */
    public void recordHostOrder(String host, String entry, long nowMs) {
        HostHolder before = mHolders.put(host, new HostHolder(entry, nowMs));
        if (before != null
                && !before.entry().equals(entry)
                && nowMs - before.orderedMs() < HOLDER_MS) {
            violate(
                    SchedulerInvariant.ONE_COORDINATOR_PER_HOST,
                    nowMs,
                    host + " is ordered by " + entry + " just after " + before.entry());
        }
    }

    /** Notes that a run has ended; {@code kind} is empty if it ended with its executor. */
    public void recordEnd(TaskKey task, String executor, Optional<RunOutcome> kind) {
        Set<String> running = mRunning.getOrDefault(task, new HashSet<>());
        if (running.remove(executor)) {
            StepSpec step = mSpecs.get(task.jobId()).steps().get(task.stepKey().step());
            mTeamUse.merge(mTeams.get(task.jobId()), step.demand(), Resources::minus);
        }
        kind.filter(k -> k == RunOutcome.DONE).ifPresent(k -> mDone.add(task));
        kind.filter(k -> k == RunOutcome.FAILED)
                .ifPresent(k -> mFailed.merge(task, 1, Integer::sum));
    }

    /** Notes that an end as done was acknowledged to its executor. */
    public void recordAcknowledgment(TaskKey task) {
        mNoted.add(task);
    }

    private boolean isStepDone(StepKey key) {
        int count = mSpecs.get(key.jobId()).steps().get(key.step()).count();
        for (int i = 0; i < count; i++) {
            if (!mDone.contains(key.task(i))) {
                return false;
            }
        }
        return true;
    }

    private void violate(SchedulerInvariant promise, long nowMs, String text) {
        mViolations.add(new InvariantViolation(promise, nowMs, text));
    }

    /** Returns the jobs that were accepted. */
    public Set<String> acceptedJobs() {
        return Set.copyOf(mAccepted);
    }

    /** Returns what was broken. */
    public List<InvariantViolation> violations() {
        return List.copyOf(mViolations);
    }
}
