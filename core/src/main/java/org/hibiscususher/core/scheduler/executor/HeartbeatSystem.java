package org.hibiscususher.core.scheduler.executor;

import java.util.List;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.SendHeartbeat;
import org.hibiscususher.core.scheduler.term.Authority;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.ExecutorSessionRow;
import org.hibiscususher.core.scheduler.world.FinishedRunRow;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TermRow;

/**
 * Sends heartbeats to executors.
 *
 * <p>A heartbeat extends the executor's lease, acknowledges the finished runs whose outcomes the
 * store holds, and returns the executor's runs. It is a long poll: the executor may hold the
 * response back until a run finishes. An executor whose lease expires stops its runs, so that they
 * can restart elsewhere.
 */
public final class HeartbeatSystem {
    /** How long an executor with runs may hold its response back, in milliseconds. */
    private static final long BUSY_WAIT_MS = 1_000;

    /** The same for an executor without runs. */
    private static final long IDLE_WAIT_MS = 2_000;

    /**
     * Delay of the next heartbeat while finished runs can't be acknowledged yet, in milliseconds.
     * The executor responds at once while it has such runs, so without a delay heartbeats would
     * follow each other without a pause.
     */
    private static final long UNACKNOWLEDGED_DELAY_MS = 200;

    /**
     * Lowest rate of an executor's clock against ours that leases allow for, in percent. A lease
     * that is measured by a slow clock lasts longer on ours.
     */
    public static final long MIN_CLOCK_RATE_PERCENT = 97;

    /** Margin after the computed end of a lease, in milliseconds. */
    private static final long LEASE_MARGIN_MS = 60;

    private HeartbeatSystem() {}

    /** Sends the heartbeats that are due. */
    public static void run(SchedulerTick tick) {
        if (!Authority.mayOrderExecutors(tick)) {
            return;
        }
        for (ExecutorRow row : tick.world().executors().rows()) {
            ExecutorSessionRow session =
                    tick.world().executorSessions().find(row.id()).orElse(null);
            if (session != null
                    && session.heartbeatCallId() == 0
                    && tick.nowMs() >= session.nextHeartbeatMs()
                    && !row.report().address().isEmpty()) {
                sendHeartbeat(tick, row, acknowledge(tick, session));
            }
        }
    }

    /** Acknowledges finished runs in order, up to the first whose outcome is not stored yet. */
    private static ExecutorSessionRow acknowledge(SchedulerTick tick, ExecutorSessionRow session) {
        SchedulerWorld world = tick.world();
        ExecutorSessionRow next = session;
        for (FinishedRunRow finished :
                List.copyOf(world.finishedRuns().group(session.executor()))) {
            long storedVersion =
                    world.jobs()
                            .find(finished.job())
                            .map(JobRow::storedVersion)
                            .orElse(Long.MAX_VALUE);
            if (storedVersion < finished.jobVersion()) {
                break;
            }
            world.finishedRuns().remove(finished.key());
            next = next.withAcknowledgedSequence(finished.key().sequence());
        }
        if (world.finishedRuns().group(session.executor()).isEmpty()) {
            next = next.withAcknowledgedSequence(session.appliedSequence());
        }
        return next;
    }

    private static void sendHeartbeat(
            SchedulerTick tick, ExecutorRow row, ExecutorSessionRow session) {
        SchedulerWorld world = tick.world();
        boolean unacknowledged = !world.finishedRuns().group(row.id()).isEmpty();
        if (unacknowledged && tick.nowMs() - session.lastAnswerMs() < UNACKNOWLEDGED_DELAY_MS) {
            world.executorSessions().put(row.id(), session);
            return;
        }
        TermRow term = world.term().get();
        boolean unconfirmed = session.lastAnswerMs() == 0 || session.consecutiveFailures() > 0;
        boolean mayWait =
                session.confirmedFence() == term.fence() && !unconfirmed && !unacknowledged;
        boolean busy = !world.runs().group(row.id()).isEmpty();
        long waitMs = !mayWait ? 0 : busy ? BUSY_WAIT_MS : IDLE_WAIT_MS;
        // A heartbeat to a silent executor may arrive although no response does. It must not extend
        // the lease: the tasks there can restart elsewhere only once the lease has expired.
        boolean extend = !unconfirmed;
        long leaseMs = world.settings().timing().executorLeaseMs();
        long deadlineMs = extend ? session.executorClockAt(tick.nowMs()) + leaseMs : 0;
        // The numbers of ends begin anew with each incarnation, and a silent executor may have
        // restarted: the ends of a new incarnation must not be acknowledged unseen.
        long acknowledgedSequence = unconfirmed ? 0 : session.acknowledgedSequence();
        long callId = tick.nextCallId();
        long leaseEndMs = extend ? leaseEndMs(session, deadlineMs) : 0;
        world.executorSessions()
                .put(
                        row.id(),
                        session.withHeartbeatSent(callId, term.fence(), tick.nowMs(), leaseEndMs));
        tick.emit(
                new SendHeartbeat(
                        callId,
                        row.id(),
                        row.report().address(),
                        term.fence(),
                        acknowledgedSequence,
                        deadlineMs,
                        waitMs));
    }

    /**
     * Returns the time on our steady clock at which a lease has certainly expired.
     *
     * @param session session with the executor, which relates its clock to ours
     * @param deadlineMs end of the lease on the executor's clock, in milliseconds
     */
    public static long leaseEndMs(ExecutorSessionRow session, long deadlineMs) {
        return leaseEndMs(session.clockReadAtMs(), deadlineMs - session.executorClockMs());
    }

    /**
     * Returns the time on our steady clock at which a lease has certainly expired.
     *
     * @param fromMs when it began or was renewed, on our steady clock
     * @param leaseMs its duration on the executor's clock, in milliseconds
     */
    static long leaseEndMs(long fromMs, long leaseMs) {
        return fromMs + leaseMs * 100 / MIN_CLOCK_RATE_PERCENT + LEASE_MARGIN_MS;
    }
}
