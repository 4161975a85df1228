package org.hibiscususher.core.scheduler.executor;

import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.job.TaskKey;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.StopRun;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.ExecutorSessionRow;
import org.hibiscususher.core.scheduler.world.FinishedRunRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunStage;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StartKey;
import org.hibiscususher.core.scheduler.world.StopReason;
import org.hibiscususher.core.scheduler.world.TaskRow;
import org.hibiscususher.core.scheduler.world.UncertainStartRow;

/** Changes of runs that more than one system makes. */
public final class RunLifecycle {
    /** Numbers of runs that a term may give to a task. */
    static final int RUNS_PER_TERM = 1_000;

    private RunLifecycle() {}

    /** Returns the number of the next run of a task, above all that earlier owners gave. */
    public static int nextRunNumber(SchedulerWorld world, TaskRow task) {
        long floor = (world.term().get().generation() - 1) * RUNS_PER_TERM;
        return Math.max(task.lastRun(), (int) floor) + 1;
    }

    /** Orders a run to stop; it stays in the table until its end is known. */
    public static void requestStop(SchedulerTick tick, RunRow run, StopReason reason) {
        SchedulerWorld world = tick.world();
        long callId = tick.nextCallId();
        world.runs().put(run.task(), run.asStopping(reason, callId, tick.nowMs()));
        if (reason != run.reason()) {
            tick.log("stop", describe(run) + " reason=" + reason);
            tick.count("stop." + reason);
        }
        order(tick, callId, run.executor(), run.task(), run.run());
    }

    /** Orders a run to stop that is in no table. */
    public static void requestStopOfUnknownRun(
            SchedulerTick tick, String executor, TaskKey task, int run) {
        tick.log("stop-unknown", "task=" + task.text() + " run=" + run + " executor=" + executor);
        order(tick, tick.nextCallId(), executor, task, run);
    }

    private static void order(
            SchedulerTick tick, long callId, String executor, TaskKey task, int run) {
        ExecutorRow row = tick.world().executors().find(executor).orElse(null);
        if (row != null && !row.report().address().isEmpty()) {
            long fence = tick.world().term().get().fence();
            String address = row.report().address();
            tick.emit(new StopRun(callId, executor, address, fence, task, run));
        }
    }

    /** Applies that a run has surely ended or never began; its task waits for the next one. */
    public static void removeAndRequeue(
            SchedulerTick tick, RunRow run, String reason, long delayMs) {
        SchedulerWorld world = tick.world();
        world.runs().remove(run.task());
        world.tasks().update(run.task(), t -> t.asWaiting(tick.nowMs(), delayMs, run.checkpoint()));
        tick.log("run-gone", describe(run) + " reason=" + reason);
        tick.count("run-gone." + reason);
    }

    /** Applies that the life of an executor has ended, and with it everything that ran there. */
    public static void endIncarnation(SchedulerTick tick, String executor, String reason) {
        SchedulerWorld world = tick.world();
        for (RunRow run : List.copyOf(world.runs().group(executor))) {
            removeAndRequeue(tick, run, reason, 0);
        }
        for (FinishedRunRow end : List.copyOf(world.finishedRuns().group(executor))) {
            world.finishedRuns().remove(end.key());
        }
        world.executorSessions().put(executor, ExecutorSessionRow.initial(executor, 0));
        world.executors().update(executor, ExecutorRow::asConfirmed);
    }

    /** Applies that an executor has ended for good. */
    public static void removeExecutor(SchedulerTick tick, String executor, String reason) {
        SchedulerWorld world = tick.world();
        tick.log("executor-gone", "executor=" + executor + " reason=" + reason);
        endIncarnation(tick, executor, reason);
        world.executors().remove(executor);
        world.executorSessions().remove(executor);
        world.executorHealth().remove(executor);
    }

    /**
     * Applies that another life of an executor has begun under the same id.
     *
     * <p>An order that the life before did not answer may still reach this one.
     */
    public static void handleRestart(SchedulerTick tick, String executor, String reason) {
        SchedulerWorld world = tick.world();
        List<RunRow> uncertain = new ArrayList<>();
        for (RunRow run : world.runs().group(executor)) {
            boolean unanswered =
                    run.stage() == RunStage.SENT || run.reason() == StopReason.UNCERTAIN_START;
            if (unanswered) {
                uncertain.add(run);
            }
        }
        uncertain.forEach(run -> world.runs().remove(run.task()));
        endIncarnation(tick, executor, reason);
        uncertain.forEach(run -> requestStop(tick, run, StopReason.UNCERTAIN_START));
        for (UncertainStartRow row : world.uncertainStarts().rows()) {
            if (row.executor().equals(executor)) {
                world.uncertainStarts().put(row.key(), row.withCancelPending(true));
            }
        }
    }

    /** Notes that an order to start a run was not answered. */
    static void handleUnansweredStart(SchedulerTick tick, RunRow run) {
        StartKey key = new StartKey(run.task(), run.run());
        tick.world()
                .uncertainStarts()
                .put(key, new UncertainStartRow(key, run.executor(), tick.nowMs(), false, 0));
        requestStop(tick, run, StopReason.UNCERTAIN_START);
    }

    /** Returns a run in the words of the log. */
    public static String describe(RunRow run) {
        return "job="
                + run.task().jobId()
                + " task="
                + run.task().text()
                + " run="
                + run.run()
                + " executor="
                + run.executor();
    }
}
