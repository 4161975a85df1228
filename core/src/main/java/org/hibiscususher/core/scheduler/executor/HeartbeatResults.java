package org.hibiscususher.core.scheduler.executor;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hibiscususher.core.job.FinishedRun;
import org.hibiscususher.core.job.ReportedRun;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.job.TaskKey;
import org.hibiscususher.core.scheduler.job.JobLifecycle;
import org.hibiscususher.core.scheduler.message.HeartbeatFailure;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HeartbeatAnswered;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HeartbeatFailed;
import org.hibiscususher.core.scheduler.term.StepDown;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.ExecutorSessionRow;
import org.hibiscususher.core.scheduler.world.FirstReport;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunStage;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StopReason;
import org.hibiscususher.core.scheduler.world.TaskRow;

/**
 * Applies the results of heartbeats: the lists of runs that executors return, restarts that they
 * show, and failures.
 *
 * <p>A list says nothing of a run whose order was answered after the heartbeat was sent, nor, if it
 * is cut off, of a run that it lacks.
 */
final class HeartbeatResults {
    /** Delay of the next heartbeat after one without a response, in milliseconds. */
    private static final long NO_RESPONSE_DELAY_MS = 100;

    /** Delay of the next heartbeat after one that the executor rejected, in milliseconds. */
    private static final long REJECTED_DELAY_MS = 250;

    /** Failed heartbeats in a row up to which a recovery is not logged. */
    private static final int MAX_UNLOGGED_FAILURES = 1;

    /** Time without new runs after a failed heartbeat, in milliseconds. */
    private static final long SILENT_QUARANTINE_MS = 600;

    private HeartbeatResults() {}

    /** Applies the response to the heartbeat that is awaited; ignores any other. */
    static void apply(SchedulerTick tick, HeartbeatAnswered answer) {
        SchedulerWorld world = tick.world();
        String id = answer.executor();
        ExecutorSessionRow session = world.executorSessions().find(id).orElse(null);
        if (session == null || session.heartbeatCallId() != answer.callId()) {
            return;
        }
        if (session.startedAtMs() != 0 && session.startedAtMs() != answer.startedAtMs()) {
            session = restarted(tick, session, answer);
        }
        logIfReached(tick, session, answer);
        long sentMs = session.heartbeatSentMs();
        session =
                session.withHeartbeatAnswered(
                        answer.startedAtMs(), answer.executorClockMs(), tick.nowMs());
        world.executorSessions().put(id, session);
        if (answer.complete()) {
            world.executors().update(id, ExecutorRow::asConfirmed);
        }
        Set<TaskKey> reportedTasks = applyFinishedRuns(tick, session, answer.finishedRuns());
        for (ReportedRun run : answer.runs()) {
            reportedTasks.add(run.task());
            applyRun(tick, id, run);
        }
        // A run that a cut-off list lacks may have ended; a later list names its outcome.
        if (answer.complete()) {
            requeueUnlistedRuns(tick, id, reportedTasks, sentMs);
        }
    }

    /**
     * Applies that another incarnation of an executor has answered; returns its session, with the
     * heartbeat in flight that it answers.
     */
    private static ExecutorSessionRow restarted(
            SchedulerTick tick, ExecutorSessionRow session, HeartbeatAnswered answer) {
        String id = session.executor();
        tick.log(
                "executor-reborn",
                "executor="
                        + id
                        + " by=answer known="
                        + session.startedAtMs()
                        + " reported="
                        + answer.startedAtMs());
        RunLifecycle.handleRestart(tick, id);
        extendLeaseOfUnknownClock(tick, id);
        long leaseEndMs =
                tick.world()
                        .executorSessions()
                        .find(id)
                        .map(ExecutorSessionRow::leaseEndMs)
                        .orElse(0L);
        return ExecutorSessionRow.initial(id, leaseEndMs)
                .withHeartbeatSent(
                        answer.callId(), session.heartbeatFence(), session.heartbeatSentMs(), 0);
    }

    /**
     * Allows for the longest lease on an executor that has restarted. Orders sent meanwhile named
     * their deadline on the clock of the earlier incarnation, which may be far ahead of that of the
     * new one.
     */
    static void extendLeaseOfUnknownClock(SchedulerTick tick, String executor) {
        SchedulerWorld world = tick.world();
        if (!world.runs().group(executor).isEmpty()) {
            long untilMs =
                    HeartbeatSystem.leaseEndMs(
                            tick.nowMs(), world.settings().timing().maxExecutorLeaseMs());
            world.executorSessions().update(executor, s -> s.withLeaseExtendedTo(untilMs));
        }
    }

    private static void logIfReached(
            SchedulerTick tick, ExecutorSessionRow session, HeartbeatAnswered answer) {
        if (session.lastAnswerMs() == 0 || session.consecutiveFailures() > MAX_UNLOGGED_FAILURES) {
            tick.log(
                    "executor-reached",
                    "executor="
                            + session.executor()
                            + " fence="
                            + session.heartbeatFence()
                            + " runs="
                            + answer.runs().size()
                            + " ends="
                            + answer.finishedRuns().size()
                            + " incarnation="
                            + answer.startedAtMs());
        }
    }

    /** Applies the finished runs that were not applied before; returns the tasks of all. */
    private static Set<TaskKey> applyFinishedRuns(
            SchedulerTick tick, ExecutorSessionRow session, List<FinishedRun> finishedRuns) {
        String id = session.executor();
        Set<TaskKey> tasks = new HashSet<>();
        long appliedSequence = session.appliedSequence();
        for (FinishedRun finished : finishedRuns) {
            tasks.add(finished.task());
            if (finished.sequence() > appliedSequence) {
                FinishedRuns.apply(tick, id, finished);
                appliedSequence = finished.sequence();
            }
        }
        long applied = appliedSequence;
        tick.world().executorSessions().update(id, s -> s.withAppliedSequence(applied));
        return tasks;
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
                        tick.nowMs(),
                        new FirstReport(reported.progressPercent(), tick.nowMs()));
        world.runs().put(run.task(), run);
        // Silent executors may hold failed runs, which count against the task's attempts. Services
        // have no limit of attempts, and a restart must not wait for silent executors.
        TaskRow adopted =
                spec.service() ? task.asActive(reported.run()) : task.asAdopted(reported.run());
        world.tasks().put(task.key(), adopted);
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
    static void applyFailure(SchedulerTick tick, HeartbeatFailed failed) {
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
}
