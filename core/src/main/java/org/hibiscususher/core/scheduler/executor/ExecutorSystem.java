package org.hibiscususher.core.scheduler.executor;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hibiscususher.core.scheduler.message.ExecutorReport;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ExecutorRemoved;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ExecutorUpdated;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ExecutorsListed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HeartbeatAnswered;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HeartbeatFailed;
import org.hibiscususher.core.scheduler.term.Authority;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.ExecutorSessionRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;

/**
 * Applies what executors report about themselves and about their runs.
 *
 * <p>Registrations come from the store, lists of runs from heartbeats. The run of a task is dropped
 * only when its executor no longer lists it, has restarted, or is silent with a lease that has
 * certainly expired: a task that is started again earlier could run twice. {@link
 * LostExecutorSystem} shortens the wait when the executor's host is known to have ended it.
 */
public final class ExecutorSystem {
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
        if (Authority.mayPresumeLeasesExpired(tick)) {
            tick.world().executors().rows().forEach(row -> expireLease(tick, row));
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
            HeartbeatResults.apply(tick, answered);
        } else if (input instanceof HeartbeatFailed failed) {
            HeartbeatResults.applyFailure(tick, failed);
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
        boolean differs = before == null || before.report().startedAtMs() != report.startedAtMs();
        boolean bothKnown = knownStartMs != 0 && report.startedAtMs() != 0;
        if (differs && bothKnown && report.startedAtMs() != knownStartMs) {
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
    static void verifyIncarnation(SchedulerTick tick, String executor) {
        HeartbeatResults.extendLeaseOfUnknownClock(tick, executor);
        tick.world().executorSessions().update(executor, s -> s.withHeartbeatFailed(tick.nowMs()));
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
        if (session.consecutiveFailures() > 0) {
            for (RunRow run : List.copyOf(world.runs().group(row.id()))) {
                if (UnansweredStart.hasCertainlyEnded(tick, run)) {
                    RunLifecycle.removeAndRequeue(tick, run, "lease-ended", 0);
                }
            }
        }
        boolean mayRun =
                world.runs().group(row.id()).stream()
                        .anyMatch(run -> !UnansweredStart.hasCertainlyEnded(tick, run));
        boolean missing =
                !mayRun
                        && row.missingSinceMs() != 0
                        && tick.nowMs() - row.missingSinceMs() > MAX_MISSING_MS;
        if (missing && (session.consecutiveFailures() > 0 || row.report().address().isEmpty())) {
            RunLifecycle.removeExecutor(tick, row.id(), "missing");
        }
    }
}
