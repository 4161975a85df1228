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

/** Takes in what came of orders to start and stop runs, and repeats orders to stop. */
public final class RunOrderSystem {
    private static final long STOP_RETRY_MS = 150;
    private static final long NO_ROOM_ASIDE_MS = 150;
    private static final long UNHEALTHY_ASIDE_MS = 500;

    /** Time within which an unanswered order may still be carried out, in milliseconds. */
    private static final long MAX_LATE_MS = 14_000;

    private static final long INVALID_REST_MS = 1_000;

    /** Time without an answer after which an order to stop is sent again. */
    private static final long STOP_TIMEOUT_MS = 1_000;

    private RunOrderSystem() {}

    /** Takes in answers, then repeats orders to stop that got none. */
    public static void run(SchedulerTick tick) {
        if (!tick.world().term().get().isScheduling()) {
            return;
        }
        for (StartCallCompleted answer : tick.inputs(StartCallCompleted.class)) {
            RunRow run = tick.world().runs().find(answer.task()).orElse(null);
            if (run != null && run.run() == answer.run() && run.callId() == answer.callId()) {
                started(tick, run, answer.result());
            }
        }
        for (StopCallCompleted answer : tick.inputs(StopCallCompleted.class)) {
            if (answer.result() != StopResult.NO_ANSWER) {
                StartKey key = new StartKey(answer.task(), answer.run());
                tick.world().uncertainStarts().update(key, r -> r.withCancelPending(false));
            }
            RunRow run = tick.world().runs().find(answer.task()).orElse(null);
            if (run != null && run.run() == answer.run() && run.callId() == answer.callId()) {
                stopped(tick, run, answer.result());
            }
        }
        if (Authority.mayOrderExecutors(tick)) {
            repeatStops(tick);
            tellNewLives(tick);
        }
    }

    private static void started(SchedulerTick tick, RunRow run, StartResult result) {
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
            case OTHER_LIFE -> RunLifecycle.endIncarnation(tick, run.executor(), "other-life");
            case NO_ROOM -> {
                ExecutorHealth.quarantine(tick, run.executor(), NO_ROOM_ASIDE_MS, "no-room");
                RunLifecycle.removeAndRequeue(tick, run, "refused", 0);
            }
            case UNHEALTHY -> {
                ExecutorHealth.quarantine(tick, run.executor(), UNHEALTHY_ASIDE_MS, "unhealthy");
                RunLifecycle.removeAndRequeue(tick, run, "refused", 0);
            }
            case NO_TICKET -> {
                world.advice().remove(run.task().stepKey());
                RunLifecycle.removeAndRequeue(tick, run, "refused", 0);
            }
            case INVALID -> RunLifecycle.removeAndRequeue(tick, run, "refused", INVALID_REST_MS);
            default -> RunLifecycle.removeAndRequeue(tick, run, "refused", 0);
        }
    }

    private static void stopped(SchedulerTick tick, RunRow run, StopResult result) {
        switch (result) {
            case STOPPED, REFUSED -> {
                tick.world().runs().put(run.task(), run.withOrderAnswered(tick.nowMs()));
                hastenReading(tick, run.executor());
            }
            case FENCED -> StepDown.run(tick, "fenced-by-executor");
            case OTHER_LIFE -> RunLifecycle.endIncarnation(tick, run.executor(), "other-life");
            default -> tick.world().runs().put(run.task(), run.withOrderAnswered(0));
        }
    }

    private static void hastenReading(SchedulerTick tick, String executor) {
        tick.world().executorSessions().update(executor, c -> c.withNextHeartbeat(tick.nowMs()));
    }

    /** Tells executors that began another life which runs are not wanted. */
    private static void tellNewLives(SchedulerTick tick) {
        for (UncertainStartRow row : tick.world().uncertainStarts().rows()) {
            if (tick.nowMs() - row.detectedMs() > MAX_LATE_MS) {
                tick.world().uncertainStarts().remove(row.key());
            } else if (row.cancelPending() && tick.nowMs() - row.cancelSentMs() > STOP_RETRY_MS) {
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
