package org.hibiscususher.core.scheduler.executor;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hibiscususher.core.job.FinishedRun;
import org.hibiscususher.core.job.ReportedRun;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.job.TaskKey;
import org.hibiscususher.core.scheduler.job.JobLifecycle;
import org.hibiscususher.core.scheduler.message.ExecutorReport;
import org.hibiscususher.core.scheduler.message.HeartbeatFailure;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ExecutorRemoved;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ExecutorUpdated;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ExecutorsListed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HeartbeatAnswered;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HeartbeatFailed;
import org.hibiscususher.core.scheduler.term.StepDown;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.ExecutorSessionRow;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunStage;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StopReason;
import org.hibiscususher.core.scheduler.world.TaskRow;

/**
 * Applies what executors report about themselves and about their runs.
 *
 * <p>Registrations come from the store, lists of runs from heartbeats. The run of a task is dropped
 * only when its executor no longer lists it, has restarted, or is silent with a lease that has
 * certainly expired: a task that is started again earlier could run twice. {@link
 * LostExecutorSystem} shortens the wait when the executor's host is known to have ended it.
 */
public final class ExecutorSystem {
    /** Delay of the next heartbeat after one without a response, in milliseconds. */
    private static final long NO_RESPONSE_DELAY_MS = 100;

    /** Delay of the next heartbeat after one that the executor rejected, in milliseconds. */
    private static final long REJECTED_DELAY_MS = 250;

    /** Failed heartbeats in a row up to which a recovery is not logged. */
    private static final int MAX_UNLOGGED_FAILURES = 1;

    /** Time without new runs after a failed heartbeat, in milliseconds. */
    private static final long SILENT_QUARANTINE_MS = 600;

    /**
     * Time for which the registration of a silent executor may be missing before it is removed, in
     * milliseconds.
     */
    private static final long MAX_MISSING_MS = 2_500;

    private ExecutorSystem() {}

    /** Applies registrations and heartbeat results, then expires leases. */
    public static void run(SchedulerTick tick) {
        if (!tick.world().term().get().isScheduling()
                && !tick.world().term().get().stage().isOwner()) {
            return;
        }
        tick.forEachInput(SchedulerInput.class, input -> apply(tick, input));
        for (ExecutorRow row : tick.world().executors().rows()) {
            expireLease(tick, row);
        }
    }

    private static void apply(SchedulerTick tick, SchedulerInput input) {
        if (input instanceof ExecutorsListed listed) {
            applyRegistrations(tick, listed.reports());
        } else if (input instanceof ExecutorUpdated seen) {
            applyRegistration(tick, seen.report());
        } else if (input instanceof ExecutorRemoved gone) {
            markMissing(tick, gone.id());
        } else if (input instanceof HeartbeatAnswered answered) {
            applyHeartbeat(tick, answered);
        } else if (input instanceof HeartbeatFailed failed) {
            applyFailure(tick, failed);
        }
    }

    /** Applies the complete list of registrations in the store. */
    private static void applyRegistrations(SchedulerTick tick, List<ExecutorReport> reports) {
        Set<String> ids = new HashSet<>();
        for (ExecutorReport report : reports) {
            ids.add(report.id());
            applyRegistration(tick, report);
        }
        for (ExecutorRow row : tick.world().executors().rows()) {
            if (!ids.contains(row.id())) {
                markMissing(tick, row.id());
            }
        }
    }

    /** Applies the registration of one executor. */
    private static void applyRegistration(SchedulerTick tick, ExecutorReport report) {
        SchedulerWorld world = tick.world();
        ExecutorRow before = world.executors().find(report.id()).orElse(null);
        ExecutorRow row =
                before == null
                        ? new ExecutorRow(report, tick.nowMs(), 0, false, false, false, 0)
                        : before;
        world.executors().put(report.id(), row.withReport(report, tick.nowMs()));
        if (!world.executorSessions().contains(report.id())) {
            world.executorSessions().put(report.id(), ExecutorSessionRow.initial(report.id(), 0));
        }
        if (before == null || before.report().draining() != report.draining()) {
            tick.log(
                    "executor-seen",
                    "executor="
                            + report.id()
                            + " pool="
                            + report.pool()
                            + " address="
                            + report.address()
                            + " host="
                            + report.host()
                            + " labels="
                            + report.labels()
                            + " draining="
                            + report.draining()
                            + " remaining_ms="
                            + report.remainingMs());
        }
        long knownStartMs =
                world.executorSessions()
                        .find(report.id())
                        .map(ExecutorSessionRow::startedAtMs)
                        .orElse(0L);
        boolean news = before == null || before.report().startedAtMs() != report.startedAtMs();
        boolean bothKnown = knownStartMs != 0 && report.startedAtMs() != 0;
        if (news && bothKnown && report.startedAtMs() != knownStartMs) {
            tick.log(
                    "executor-reborn",
                    "executor="
                            + report.id()
                            + " by=report known="
                            + knownStartMs
                            + " reported="
                            + report.startedAtMs());
            verifyIncarnation(tick, report.id());
        }
    }

    /**
     * Asks an executor at once which incarnation it is and what it runs.
     *
     * <p>A report may be read long after it was written, so it doesn't tell which incarnation has
     * answered the orders sent meanwhile. The heartbeat in flight is abandoned: an earlier
     * incarnation can't answer it any more. Until an answer arrives, the executor counts as silent
     * and gets no new runs.
     */
    private static void verifyIncarnation(SchedulerTick tick, String executor) {
        extendLeaseOfUnknownClock(tick, executor);
        tick.world().executorSessions().update(executor, s -> s.withHeartbeatFailed(tick.nowMs()));
    }

    /**
     * Allows for the longest lease on an executor that has restarted. Orders sent meanwhile named
     * their deadline on the clock of the earlier incarnation, which may be far ahead of that of the
     * new one.
     */
    private static void extendLeaseOfUnknownClock(SchedulerTick tick, String executor) {
        SchedulerWorld world = tick.world();
        if (!world.runs().group(executor).isEmpty()) {
            long untilMs =
                    HeartbeatSystem.leaseEndMs(
                            tick.nowMs(), world.settings().timing().maxExecutorLeaseMs());
            world.executorSessions().update(executor, s -> s.withLeaseExtendedTo(untilMs));
        }
    }

    /** Applies that the registration of an executor is no longer in the store. */
    private static void markMissing(SchedulerTick tick, String id) {
        ExecutorRow row = tick.world().executors().find(id).orElse(null);
        if (row == null || row.missingSinceMs() != 0) {
            return;
        }
        tick.log("executor-missing", "executor=" + id + " draining=" + row.report().draining());
        tick.world().executors().put(id, row.withoutReport(tick.nowMs()));
    }

    /** Applies the response to the heartbeat that is awaited; ignores any other. */
    private static void applyHeartbeat(SchedulerTick tick, HeartbeatAnswered answer) {
        SchedulerWorld world = tick.world();
        String id = answer.executor();
        ExecutorSessionRow session = world.executorSessions().find(id).orElse(null);
        if (session == null || session.heartbeatCallId() != answer.callId()) {
            return;
        }
        if (session.startedAtMs() != 0 && session.startedAtMs() != answer.startedAtMs()) {
            tick.log("executor-reborn", "executor=" + id + " by=answer");
            RunLifecycle.handleRestart(tick, id);
            extendLeaseOfUnknownClock(tick, id);
            long leaseEndMs =
                    world.executorSessions()
                            .find(id)
                            .map(ExecutorSessionRow::leaseEndMs)
                            .orElse(0L);
            session =
                    ExecutorSessionRow.initial(id, leaseEndMs)
                            .withHeartbeatSent(
                                    answer.callId(),
                                    session.heartbeatFence(),
                                    session.heartbeatSentMs(),
                                    0);
        }
        if (session.lastAnswerMs() == 0 || session.consecutiveFailures() > MAX_UNLOGGED_FAILURES) {
            tick.log(
                    "executor-reached",
                    "executor="
                            + id
                            + " fence="
                            + session.heartbeatFence()
                            + " runs="
                            + answer.runs().size()
                            + " ends="
                            + answer.finishedRuns().size());
        }
        long sentMs = session.heartbeatSentMs();
        session =
                session.withHeartbeatAnswered(
                        answer.startedAtMs(), answer.executorClockMs(), tick.nowMs());
        world.executorSessions().put(id, session);
        if (answer.complete()) {
            world.executors().update(id, ExecutorRow::asConfirmed);
        }
        Set<TaskKey> reportedTasks = new HashSet<>();
        for (FinishedRun finished : answer.finishedRuns()) {
            reportedTasks.add(finished.task());
            if (finished.sequence() > session.appliedSequence()) {
                FinishedRuns.apply(tick, id, finished);
                session = session.withAppliedSequence(finished.sequence());
            }
        }
        long appliedSequence = session.appliedSequence();
        world.executorSessions().update(id, s -> s.withAppliedSequence(appliedSequence));
        for (ReportedRun run : answer.runs()) {
            reportedTasks.add(run.task());
            applyRun(tick, id, run);
        }
        // A run that a cut-off list lacks may have ended; a later list names its outcome.
        if (answer.complete()) {
            requeueUnlistedRuns(tick, id, reportedTasks, sentMs);
        }
    }

    /** Applies a run that an executor lists; orders it to stop if no task needs it. */
    private static void applyRun(SchedulerTick tick, String executor, ReportedRun reported) {
        SchedulerWorld world = tick.world();
        JobLifecycle.activateForReportedRun(tick, reported.task().stepKey());
        RunRow run = world.runs().find(reported.task()).orElse(null);
        TaskRow task = world.tasks().find(reported.task()).orElse(null);
        boolean same =
                run != null && run.run() == reported.run() && run.executor().equals(executor);
        if (same) {
            RunRow next = run.withReport(reported, tick.nowMs());
            if (run.stage() == RunStage.SENT) {
                next = next.asRunning(tick.nowMs());
                JobLifecycle.markRunning(tick, reported.task().jobId());
            }
            world.runs().put(run.task(), next);
        } else if (run == null && task != null && reported.run() >= task.lastRun()) {
            adoptRun(tick, executor, reported, task);
        } else {
            RunLifecycle.requestStopOfUnknownRun(tick, executor, reported.task(), reported.run());
        }
    }

    /** Adds a run that an earlier owner started to the tables. */
    private static void adoptRun(
            SchedulerTick tick, String executor, ReportedRun reported, TaskRow task) {
        SchedulerWorld world = tick.world();
        JobRow job = world.jobs().find(reported.task().jobId()).orElse(null);
        StepSpec spec = JobLifecycle.findSpec(world, reported.task().stepKey()).orElse(null);
        if (job == null || spec == null) {
            return;
        }
        RunRow run =
                new RunRow(
                        reported.task(),
                        reported.run(),
                        executor,
                        job.team(),
                        spec.demand(),
                        spec.reserved(),
                        RunStage.RUNNING,
                        StopReason.NONE,
                        0,
                        tick.nowMs(),
                        tick.nowMs(),
                        reported.checkpoint(),
                        reported.progressPercent(),
                        reported.load(),
                        100,
                        tick.nowMs());
        world.runs().put(run.task(), run);
        world.tasks().put(task.key(), task.asActive(reported.run()));
        JobLifecycle.markRunning(tick, job.id());
        tick.log("run-adopted", RunLifecycle.describe(run));
    }

    /**
     * Requeues the tasks of runs that the executor no longer lists.
     *
     * @param reportedTasks tasks whose runs the executor has listed as running or finished
     * @param sentMs when the heartbeat was sent; a run that was confirmed later may be missing from
     *     the list although it is there
     */
    private static void requeueUnlistedRuns(
            SchedulerTick tick, String executor, Set<TaskKey> reportedTasks, long sentMs) {
        for (RunRow run : List.copyOf(tick.world().runs().group(executor))) {
            boolean known = run.orderAnsweredMs() != 0 && run.orderAnsweredMs() < sentMs;
            if (known && !reportedTasks.contains(run.task())) {
                RunLifecycle.removeAndRequeue(tick, run, "not-listed", 0);
            }
        }
    }

    /** Applies the failure of the heartbeat that is awaited; ignores any other. */
    private static void applyFailure(SchedulerTick tick, HeartbeatFailed failed) {
        SchedulerWorld world = tick.world();
        ExecutorSessionRow session = world.executorSessions().find(failed.executor()).orElse(null);
        if (session == null || session.heartbeatCallId() != failed.callId()) {
            return;
        }
        if (failed.failure() == HeartbeatFailure.FENCED) {
            if (session.heartbeatFence() == world.term().get().fence()) {
                StepDown.run(tick, "fenced-by-executor");
            } else {
                world.executorSessions()
                        .put(session.executor(), session.withHeartbeatFailed(tick.nowMs()));
            }
            return;
        }
        if (session.consecutiveFailures() == 0) {
            tick.log(
                    "executor-silent",
                    "executor="
                            + failed.executor()
                            + " failure="
                            + failed.failure()
                            + " age_ms="
                            + (tick.nowMs() - session.lastAnswerMs())
                            + " lease_left_ms="
                            + (session.leaseEndMs() - tick.nowMs()));
        }
        if (failed.failure() == HeartbeatFailure.OTHER_LIFE) {
            RunLifecycle.endIncarnation(
                    tick, failed.executor(), "other-life", session.heartbeatSentMs());
            world.executorSessions()
                    .update(
                            failed.executor(),
                            s -> s.withHeartbeatFailed(tick.nowMs() + REJECTED_DELAY_MS));
            return;
        }
        boolean silent = failed.failure() == HeartbeatFailure.NO_ANSWER;
        long nextMs = tick.nowMs() + (silent ? NO_RESPONSE_DELAY_MS : REJECTED_DELAY_MS);
        world.executorSessions()
                .put(
                        failed.executor(),
                        session.withHeartbeatFailed(nextMs)
                                .quarantinedUntil(tick.nowMs() + SILENT_QUARANTINE_MS));
    }

    /**
     * Requeues the runs of a silent executor once its lease has certainly expired, and removes the
     * executor if its registration is missing too.
     */
    private static void expireLease(SchedulerTick tick, ExecutorRow row) {
        SchedulerWorld world = tick.world();
        ExecutorSessionRow session = world.executorSessions().find(row.id()).orElse(null);
        if (session == null || tick.nowMs() <= session.leaseEndMs()) {
            return;
        }
        if (!world.runs().group(row.id()).isEmpty() && session.consecutiveFailures() > 0) {
            for (RunRow run : List.copyOf(world.runs().group(row.id()))) {
                RunLifecycle.removeAndRequeue(tick, run, "lease-ended", 0);
            }
        }
        boolean missing =
                row.missingSinceMs() != 0 && tick.nowMs() - row.missingSinceMs() > MAX_MISSING_MS;
        if (missing && (session.consecutiveFailures() > 0 || row.report().address().isEmpty())) {
            RunLifecycle.removeExecutor(tick, row.id(), "missing");
        }
    }
}
