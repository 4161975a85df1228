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

/** Reads the executors' lists, extends their leases and acknowledges ends that are stored. */
public final class HeartbeatSystem {
    /** How long an executor with runs may wait for an end, in milliseconds. */
    private static final long BUSY_WAIT_MS = 1_000;

    private static final long IDLE_WAIT_MS = 2_000;

    /** Rest before the next reading while ends can't be acknowledged, in milliseconds. */
    private static final long UNACKNOWLEDGED_REST_MS = 200;

    /** Slowest pace of an executor's clock against ours, in percent. */
    public static final long MIN_CLOCK_RATE_PERCENT = 97;

    private static final long SLACK_MS = 60;

    private HeartbeatSystem() {}

    /** Sends the readings that are due. */
    public static void run(SchedulerTick tick) {
        if (!Authority.mayOrderExecutors(tick)) {
            return;
        }
        for (ExecutorRow row : tick.world().executors().rows()) {
            ExecutorSessionRow contact =
                    tick.world().executorSessions().find(row.id()).orElse(null);
            if (contact != null
                    && contact.heartbeatCallId() == 0
                    && tick.nowMs() >= contact.nextHeartbeatMs()
                    && !row.report().address().isEmpty()) {
                hold(tick, row, acknowledge(tick, contact));
            }
        }
    }

    private static ExecutorSessionRow acknowledge(SchedulerTick tick, ExecutorSessionRow contact) {
        SchedulerWorld world = tick.world();
        ExecutorSessionRow next = contact;
        for (FinishedRunRow end : List.copyOf(world.finishedRuns().group(contact.executor()))) {
            long stored =
                    world.jobs().find(end.job()).map(JobRow::storedVersion).orElse(Long.MAX_VALUE);
            if (stored < end.jobVersion()) {
                break;
            }
            world.finishedRuns().remove(end.key());
            next = next.withAcknowledgedSequence(end.key().sequence());
        }
        if (world.finishedRuns().group(contact.executor()).isEmpty()) {
            next = next.withAcknowledgedSequence(contact.appliedSequence());
        }
        return next;
    }

    private static void hold(SchedulerTick tick, ExecutorRow row, ExecutorSessionRow contact) {
        SchedulerWorld world = tick.world();
        boolean open = !world.finishedRuns().group(row.id()).isEmpty();
        if (open && tick.nowMs() - contact.lastAnswerMs() < UNACKNOWLEDGED_REST_MS) {
            world.executorSessions().put(row.id(), contact);
            return;
        }
        TermRow term = world.term().get();
        boolean first = contact.lastAnswerMs() == 0 || contact.consecutiveFailures() > 0;
        boolean fresh = contact.confirmedFence() == term.fence() && !first && !open;
        boolean busy = !world.runs().group(row.id()).isEmpty();
        long waitMs = !fresh ? 0 : busy ? BUSY_WAIT_MS : IDLE_WAIT_MS;
        // Orders to a silent executor may arrive, so they must not prolong the wait for its lease.
        boolean extend = !first;
        long holdMs = world.settings().timing().executorLeaseMs();
        long deadlineMs = extend ? contact.executorClockAt(tick.nowMs()) + holdMs : 0;
        long callId = tick.nextCallId();
        long leaseEndMs = extend ? leaseEndMs(contact, deadlineMs) : 0;
        world.executorSessions()
                .put(
                        row.id(),
                        contact.withHeartbeatSent(callId, term.fence(), tick.nowMs(), leaseEndMs));
        tick.emit(
                new SendHeartbeat(
                        callId,
                        row.id(),
                        row.report().address(),
                        term.fence(),
                        contact.acknowledgedSequence(),
                        deadlineMs,
                        waitMs));
    }

    /** Returns when a time on an executor's clock has surely come, on our steady clock. */
    public static long leaseEndMs(ExecutorSessionRow contact, long deadlineMs) {
        long leftMs = (deadlineMs - contact.executorClockMs()) * 100 / MIN_CLOCK_RATE_PERCENT;
        return contact.clockReadAtMs() + leftMs + SLACK_MS;
    }
}
