package org.hibiscususher.core.scheduler.executor;

import org.hibiscususher.core.scheduler.job.JobLifecycle;
import org.hibiscususher.core.scheduler.message.SchedulerInput.StartCallCompleted;
import org.hibiscususher.core.scheduler.message.SchedulerInput.StopCallCompleted;
import org.hibiscususher.core.scheduler.message.StartResult;
import org.hibiscususher.core.scheduler.message.StopResult;
import org.hibiscususher.core.scheduler.term.Authority;
import org.hibiscususher.core.scheduler.term.StepDown;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunStage;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StartKey;
import org.hibiscususher.core.scheduler.world.UncertainStartRow;

/**
 * Applies the results of orders to start and stop runs, and repeats stop orders.
 *
 * <p>A start order without a response may still be carried out seconds later, also by an executor
 * that has restarted and knows nothing of a stop order sent before. Until it can no longer arrive,
 * its run is stopped again after each restart of the executor: otherwise the task could run twice.
 */
public final class RunOrderSystem {
    /** Delay before a failed stop order is repeated, in milliseconds. */
    private static final long STOP_RETRY_MS = 150;

    /**
     * Interval at which a restarted executor is told to stop the run of a late start order, until
     * it answers, in milliseconds. Any of these orders may be late too, and the run starts if it
     * arrives before the first of them.
     */
    private static final long LATE_START_STOP_INTERVAL_MS = 40;

    /** Time without new runs after an executor rejected a run that did not fit, in milliseconds. */
    private static final long NO_ROOM_QUARANTINE_MS = 150;

    /** Time without new runs after an executor reported itself unhealthy, in milliseconds. */
    private static final long UNHEALTHY_QUARANTINE_MS = 500;

    /** Time without new runs after no connection to an executor was open, in milliseconds. */
    private static final long NOT_SENT_QUARANTINE_MS = 500;

    /** Time within which a start order without a response may be carried out, in milliseconds. */
    private static final long MAX_START_DELAY_MS = 14_000;

    /** Delay before a task starts again whose order was invalid, in milliseconds. */
    private static final long INVALID_RETRY_DELAY_MS = 1_000;

    /** Time without a response after which a stop order is repeated, in milliseconds. */
    private static final long STOP_TIMEOUT_MS = 1_000;

    private RunOrderSystem() {}

    /** Applies the results of orders, then repeats stop orders that had none. */
    public static void run(SchedulerTick tick) {
        if (!tick.world().term().get().isScheduling()) {
            return;
        }
        tick.forEachInput(StartCallCompleted.class, answer -> applyStartAnswer(tick, answer));
        tick.forEachInput(StopCallCompleted.class, answer -> applyStopAnswer(tick, answer));
        if (Authority.mayOrderExecutors(tick)) {
            repeatStops(tick);
            stopUncertainStarts(tick);
        }
    }

    private static void applyStartAnswer(SchedulerTick tick, StartCallCompleted answer) {
        RunRow run = tick.world().runs().find(answer.task()).orElse(null);
        if (run != null && run.run() == answer.run() && run.callId() == answer.callId()) {
            // An order that was refused may have extended the lease there as well.
            if (IncarnationClock.beganAnew(tick, run, answer.executorClockMs())) {
                ExecutorSystem.verifyIncarnation(tick, run.executor());
            }
            applyStartResult(tick, run, answer.result());
        }
    }

    private static void applyStopAnswer(SchedulerTick tick, StopCallCompleted answer) {
        if (answer.result() != StopResult.NO_ANSWER) {
            StartKey key = new StartKey(answer.task(), answer.run());
            tick.world().uncertainStarts().update(key, UncertainStartRow::withCancelAnswered);
        }
        RunRow run = tick.world().runs().find(answer.task()).orElse(null);
        if (run != null && run.run() == answer.run() && run.callId() == answer.callId()) {
            applyStopResult(tick, run, answer.result());
        }
    }

    private static void applyStartResult(SchedulerTick tick, RunRow run, StartResult result) {
        SchedulerWorld world = tick.world();
        if (result != StartResult.STARTED) {
            tick.log("start-refused", RunLifecycle.describe(run) + " result=" + result);
            tick.count("start-refused." + result);
        }
        switch (result) {
            case STARTED -> {
                world.runs().put(run.task(), run.asRunning(tick.nowMs()));
                JobLifecycle.markRunning(tick, run.task().jobId());
            }
            case NO_ANSWER -> RunLifecycle.handleUnansweredStart(tick, run);
            case FENCED -> StepDown.run(tick, "fenced-by-executor");
            case OTHER_LIFE -> applyOtherIncarnation(tick, run);
            case NO_ROOM -> {
                ExecutorHealth.quarantine(tick, run.executor(), NO_ROOM_QUARANTINE_MS, "no-room");
                RunLifecycle.removeAndRequeue(tick, run, "refused", 0);
            }
            case UNHEALTHY -> {
                ExecutorHealth.quarantine(
                        tick, run.executor(), UNHEALTHY_QUARANTINE_MS, "unhealthy");
                RunLifecycle.removeAndRequeue(tick, run, "refused", 0);
            }
            case NOT_SENT -> {
                ExecutorHealth.quarantine(
                        tick, run.executor(), NOT_SENT_QUARANTINE_MS, "not-connected");
                RunLifecycle.removeAndRequeue(tick, run, "not-sent", 0);
            }
            case NO_TICKET -> {
                world.advice().remove(run.task().stepKey());
                RunLifecycle.removeAndRequeue(tick, run, "refused", 0);
            }
            case INVALID ->
                    RunLifecycle.removeAndRequeue(tick, run, "refused", INVALID_RETRY_DELAY_MS);
            default -> RunLifecycle.removeAndRequeue(tick, run, "refused", 0);
        }
    }

    /**
     * Applies that another incarnation than the one that an order was meant for has answered it.
     */
    private static void applyOtherIncarnation(SchedulerTick tick, RunRow run) {
        RunLifecycle.removeAndRequeue(tick, run, "other-life", 0);
        RunLifecycle.endIncarnation(tick, run.executor(), "other-life", run.sentMs());
    }

    private static void applyStopResult(SchedulerTick tick, RunRow run, StopResult result) {
        switch (result) {
            case STOPPED, REFUSED -> {
                tick.world().runs().put(run.task(), run.withOrderAnswered(tick.nowMs()));
                requestHeartbeat(tick, run.executor());
            }
            case FENCED -> StepDown.run(tick, "fenced-by-executor");
            case OTHER_LIFE -> applyOtherIncarnation(tick, run);
            default -> tick.world().runs().put(run.task(), run.withOrderAnswered(0));
        }
    }

    /** Makes the next heartbeat due now, since it reports how the stopped run ended. */
    private static void requestHeartbeat(SchedulerTick tick, String executor) {
        tick.world().executorSessions().update(executor, s -> s.withNextHeartbeat(tick.nowMs()));
    }

    /**
     * Repeats the stop orders for uncertain starts on executors that have restarted, and drops the
     * starts that can no longer be carried out.
     */
    private static void stopUncertainStarts(SchedulerTick tick) {
        for (UncertainStartRow row : tick.world().uncertainStarts().rows()) {
            if (tick.nowMs() - row.detectedMs() > MAX_START_DELAY_MS) {
                tick.world().uncertainStarts().remove(row.key());
            } else if (row.cancelPending()
                    && tick.nowMs() - row.cancelSentMs() >= LATE_START_STOP_INTERVAL_MS) {
                tick.world().uncertainStarts().put(row.key(), row.withCancelSent(tick.nowMs()));
                RunLifecycle.requestStopOfUnknownRun(
                        tick, row.executor(), row.key().task(), row.key().run());
            }
        }
    }

    private static void repeatStops(SchedulerTick tick) {
        for (RunRow run : tick.world().runs().rows()) {
            if (run.stage() != RunStage.STOPPING || run.orderAnsweredMs() != 0) {
                continue;
            }
            long limitMs = run.callId() == 0 ? STOP_RETRY_MS : STOP_TIMEOUT_MS;
            if (tick.nowMs() - run.sentMs() > limitMs) {
                RunLifecycle.requestStop(tick, run, run.reason());
            }
        }
    }
}
