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

/** Takes in what executors say of themselves and of their runs. */
public final class ExecutorSystem {
    private static final long RETRY_MS = 100;
    private static final long UNHEALTHY_RETRY_MS = 250;

    /** Silent readings after which an executor gets no new runs. */
    private static final int MAX_FAILURES = 1;

    private static final long SILENT_ASIDE_MS = 600;

    /** Time for which a report may be missing before the executor counts as gone. */
    private static final long MISSING_MS = 2_500;

    private ExecutorSystem() {}

    /** Takes in reports, lists and their absence. */
    public static void run(SchedulerTick tick) {
        if (!tick.world().term().get().isScheduling()
                && !tick.world().term().get().stage().isOwner()) {
            return;
        }
        for (SchedulerInput input : tick.inputs()) {
            if (input instanceof ExecutorsListed listed) {
                listed(tick, listed.reports());
            } else if (input instanceof ExecutorUpdated seen) {
                seen(tick, seen.report());
            } else if (input instanceof ExecutorRemoved gone) {
                missing(tick, gone.id());
            } else if (input instanceof HeartbeatAnswered answered) {
                answered(tick, answered);
            } else if (input instanceof HeartbeatFailed failed) {
                failed(tick, failed);
            }
        }
        for (ExecutorRow row : tick.world().executors().rows()) {
            endLeases(tick, row);
        }
    }

    private static void listed(SchedulerTick tick, List<ExecutorReport> reports) {
        Set<String> ids = new HashSet<>();
        for (ExecutorReport report : reports) {
            ids.add(report.id());
            seen(tick, report);
        }
        for (ExecutorRow row : tick.world().executors().rows()) {
            if (!ids.contains(row.id())) {
                missing(tick, row.id());
            }
        }
    }

    private static void seen(SchedulerTick tick, ExecutorReport report) {
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
        long bornMs =
                world.executorSessions()
                        .find(report.id())
                        .map(ExecutorSessionRow::startedAtMs)
                        .orElse(0L);
        if (report.startedAtMs() > bornMs && bornMs != 0) {
            tick.log("executor-reborn", "executor=" + report.id() + " by=report");
            RunLifecycle.handleRestart(tick, report.id(), "reborn");
        }
    }

    private static void missing(SchedulerTick tick, String id) {
        ExecutorRow row = tick.world().executors().find(id).orElse(null);
        if (row == null || row.missingSinceMs() != 0) {
            return;
        }
        tick.log("executor-missing", "executor=" + id + " draining=" + row.report().draining());
        tick.world().executors().put(id, row.withoutReport(tick.nowMs()));
    }

    private static void answered(SchedulerTick tick, HeartbeatAnswered answer) {
        SchedulerWorld world = tick.world();
        String id = answer.executor();
        ExecutorSessionRow contact = world.executorSessions().find(id).orElse(null);
        if (contact == null || contact.heartbeatCallId() != answer.callId()) {
            return;
        }
        if (contact.startedAtMs() != 0 && contact.startedAtMs() != answer.startedAtMs()) {
            tick.log("executor-reborn", "executor=" + id + " by=answer");
            RunLifecycle.handleRestart(tick, id, "reborn");
            contact =
                    ExecutorSessionRow.initial(id, contact.leaseEndMs())
                            .withHeartbeatSent(
                                    answer.callId(),
                                    contact.heartbeatFence(),
                                    contact.heartbeatSentMs(),
                                    0);
        }
        if (contact.lastAnswerMs() == 0 || contact.consecutiveFailures() > MAX_FAILURES) {
            tick.log(
                    "executor-reached",
                    "executor="
                            + id
                            + " fence="
                            + contact.heartbeatFence()
                            + " runs="
                            + answer.runs().size()
                            + " ends="
                            + answer.finishedRuns().size());
        }
        long sentMs = contact.heartbeatSentMs();
        contact =
                contact.withHeartbeatAnswered(
                        answer.startedAtMs(), answer.executorClockMs(), tick.nowMs());
        world.executorSessions().put(id, contact);
        world.executors().update(id, ExecutorRow::asConfirmed);
        Set<TaskKey> told = new HashSet<>();
        for (FinishedRun end : answer.finishedRuns()) {
            told.add(end.task());
            if (end.sequence() > contact.appliedSequence()) {
                FinishedRuns.apply(tick, id, end);
                contact = contact.withAppliedSequence(end.sequence());
            }
        }
        long listed = contact.appliedSequence();
        world.executorSessions().update(id, c -> c.withAppliedSequence(listed));
        for (ReportedRun run : answer.runs()) {
            told.add(run.task());
            listedRun(tick, id, run);
        }
        vanished(tick, id, told, sentMs);
    }

    private static void listedRun(SchedulerTick tick, String executor, ReportedRun told) {
        SchedulerWorld world = tick.world();
        JobLifecycle.activateForReportedRun(tick, told.task().stepKey());
        RunRow run = world.runs().find(told.task()).orElse(null);
        TaskRow task = world.tasks().find(told.task()).orElse(null);
        boolean same = run != null && run.run() == told.run() && run.executor().equals(executor);
        if (same) {
            RunRow next = run.withReport(told, tick.nowMs());
            if (run.stage() == RunStage.SENT) {
                next = next.asRunning(tick.nowMs());
                JobLifecycle.markRunning(tick, told.task().jobId());
            }
            world.runs().put(run.task(), next);
        } else if (run == null && task != null && told.run() >= task.lastRun()) {
            adopt(tick, executor, told, task);
        } else {
            RunLifecycle.requestStopOfUnknownRun(tick, executor, told.task(), told.run());
        }
    }

    /** Takes over a run that an earlier owner started. */
    private static void adopt(SchedulerTick tick, String executor, ReportedRun told, TaskRow task) {
        SchedulerWorld world = tick.world();
        JobRow job = world.jobs().find(told.task().jobId()).orElse(null);
        StepSpec spec = JobLifecycle.findSpec(world, told.task().stepKey()).orElse(null);
        if (job == null || spec == null) {
            return;
        }
        RunRow run =
                new RunRow(
                        told.task(),
                        told.run(),
                        executor,
                        job.team(),
                        spec.demand(),
                        spec.reserved(),
                        RunStage.RUNNING,
                        StopReason.NONE,
                        0,
                        tick.nowMs(),
                        tick.nowMs(),
                        told.checkpoint(),
                        told.speedPercent(),
                        told.load(),
                        100,
                        tick.nowMs());
        world.runs().put(run.task(), run);
        world.tasks().put(task.key(), task.asActive(told.run()));
        JobLifecycle.markRunning(tick, job.id());
        tick.log("run-adopted", RunLifecycle.describe(run));
    }

    /** Finds runs that an executor no longer lists although it knew of them. */
    private static void vanished(
            SchedulerTick tick, String executor, Set<TaskKey> told, long sentMs) {
        for (RunRow run : List.copyOf(tick.world().runs().group(executor))) {
            boolean known = run.orderAnsweredMs() != 0 && run.orderAnsweredMs() < sentMs;
            if (known && !told.contains(run.task())) {
                RunLifecycle.removeAndRequeue(tick, run, "not-listed", 0);
            }
        }
    }

    private static void failed(SchedulerTick tick, HeartbeatFailed failed) {
        SchedulerWorld world = tick.world();
        ExecutorSessionRow contact = world.executorSessions().find(failed.executor()).orElse(null);
        if (contact == null || contact.heartbeatCallId() != failed.callId()) {
            return;
        }
        if (failed.failure() == HeartbeatFailure.FENCED) {
            if (contact.heartbeatFence() == world.term().get().fence()) {
                StepDown.run(tick, "fenced-by-executor");
            } else {
                world.executorSessions()
                        .put(contact.executor(), contact.withHeartbeatFailed(tick.nowMs()));
            }
            return;
        }
        if (contact.consecutiveFailures() == 0) {
            tick.log(
                    "executor-silent",
                    "executor="
                            + failed.executor()
                            + " failure="
                            + failed.failure()
                            + " age_ms="
                            + (tick.nowMs() - contact.lastAnswerMs())
                            + " lease_left_ms="
                            + (contact.leaseEndMs() - tick.nowMs()));
        }
        if (failed.failure() == HeartbeatFailure.OTHER_LIFE) {
            RunLifecycle.endIncarnation(tick, failed.executor(), "other-life");
            world.executorSessions()
                    .update(
                            failed.executor(),
                            c -> c.withHeartbeatFailed(tick.nowMs() + UNHEALTHY_RETRY_MS));
            return;
        }
        boolean silent = failed.failure() == HeartbeatFailure.NO_ANSWER;
        long nextMs = tick.nowMs() + (silent ? RETRY_MS : UNHEALTHY_RETRY_MS);
        world.executorSessions()
                .put(
                        failed.executor(),
                        contact.withHeartbeatFailed(nextMs)
                                .quarantinedUntil(tick.nowMs() + SILENT_ASIDE_MS));
    }

    /** Ends what a silent executor ran once its lease has surely ended, and forgets the gone. */
    private static void endLeases(SchedulerTick tick, ExecutorRow row) {
        SchedulerWorld world = tick.world();
        ExecutorSessionRow contact = world.executorSessions().find(row.id()).orElse(null);
        if (contact == null || tick.nowMs() <= contact.leaseEndMs()) {
            return;
        }
        if (!world.runs().group(row.id()).isEmpty() && contact.consecutiveFailures() > 0) {
            for (RunRow run : List.copyOf(world.runs().group(row.id()))) {
                RunLifecycle.removeAndRequeue(tick, run, "lease-ended", 0);
            }
        }
        boolean missing =
                row.missingSinceMs() != 0 && tick.nowMs() - row.missingSinceMs() > MISSING_MS;
        if (missing && (contact.consecutiveFailures() > 0 || row.report().address().isEmpty())) {
            RunLifecycle.removeExecutor(tick, row.id(), "missing");
        }
    }
}
