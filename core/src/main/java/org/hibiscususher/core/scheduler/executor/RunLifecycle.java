package org.hibiscususher.core.scheduler.executor;

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

/** Transitions of runs and executors that several systems apply. */
public final class RunLifecycle {
    /**
     * Run numbers that a term may give to a task.
     *
     * <p>Each term has a range of its own, since an executor rejects a run whose number is not
     * above earlier ones, and a new owner may not know the last number that its predecessor gave.
     */
    private static final int RUNS_PER_TERM = 1_000;

    private RunLifecycle() {}

    /** Returns how often the task of a run had been started in the run's term, with this run. */
    public static int startsInTerm(int run) {
        return run % RUNS_PER_TERM;
    }

    /** Returns the number of the next run of a task, above all numbers that earlier owners gave. */
    public static int nextRunNumber(SchedulerWorld world, TaskRow task) {
        long lastEarlierNumber = (world.term().get().generation() - 1) * RUNS_PER_TERM;
        return Math.max(task.lastRun(), (int) lastEarlierNumber) + 1;
    }

    /**
     * Orders a run to stop.
     *
     * <p>The run stays in the table until its outcome is known: until then it uses capacity, and
     * its task must not start again.
     */
    public static void requestStop(SchedulerTick tick, RunRow run, StopReason reason) {
        SchedulerWorld world = tick.world();
        long callId = tick.nextCallId();
        world.runs().put(run.task(), run.asStopping(reason, callId, tick.nowMs()));
        if (reason != run.reason()) {
            tick.log("stop", describe(run) + " reason=" + reason);
            tick.count("stop." + reason);
        }
        emitStop(tick, callId, run.executor(), run.task(), run.run());
    }

    /** Orders a run to stop that an executor has but the table of runs does not. */
    public static void requestStopOfUnknownRun(
            SchedulerTick tick, String executor, TaskKey task, int run) {
        tick.log("stop-unknown", "task=" + task.text() + " run=" + run + " executor=" + executor);
        emitStop(tick, tick.nextCallId(), executor, task, run);
    }

    private static void emitStop(
            SchedulerTick tick, long callId, String executor, TaskKey task, int run) {
        ExecutorRow row = tick.world().executors().find(executor).orElse(null);
        if (row != null && !row.report().address().isEmpty()) {
            long fence = tick.world().term().get().fence();
            String address = row.report().address();
            tick.emit(new StopRun(callId, executor, address, fence, task, run));
        }
    }

    /**
     * Removes a run that has certainly ended or never started, and lets its task start again.
     *
     * @param reason cause for the log and the counter
     * @param delayMs delay before the task may start again, in milliseconds
     */
    public static void removeAndRequeue(
            SchedulerTick tick, RunRow run, String reason, long delayMs) {
        SchedulerWorld world = tick.world();
        world.runs().remove(run.task());
        world.tasks().update(run.task(), t -> t.asWaiting(tick.nowMs(), delayMs, run.checkpoint()));
        tick.log("run-gone", describe(run) + " reason=" + reason + knowledge(tick, run));
        tick.count("run-gone." + reason);
    }

    /**
     * Returns what the removal of a run rests on, as fields of a log line: the ages of its order,
     * of the answer to it (-1 for none) and of the executor's last answer to a heartbeat, how long
     * the executor's lease may still last, all in milliseconds, and the known incarnation.
     */
    private static String knowledge(SchedulerTick tick, RunRow run) {
        ExecutorSessionRow session =
                tick.world()
                        .executorSessions()
                        .find(run.executor())
                        .orElse(ExecutorSessionRow.initial(run.executor(), 0));
        boolean answered = run.orderAnsweredMs() != 0;
        return " stage="
                + run.stage()
                + " order_age_ms="
                + (tick.nowMs() - run.sentMs())
                + " answer_age_ms="
                + (answered ? tick.nowMs() - run.orderAnsweredMs() : -1)
                + " executor_age_ms="
                + (tick.nowMs() - session.lastAnswerMs())
                + " lease_left_ms="
                + (session.leaseEndMs() - tick.nowMs())
                + " incarnation="
                + session.startedAtMs();
    }

    /**
     * Applies that an incarnation of an executor has ended, and with it its runs. A run whose order
     * was sent or answered after that reading may belong to the next incarnation; the answer to
     * that order or the next heartbeat tells.
     *
     * @param reason cause for the log and the counter
     * @param readMs when the reading was requested that shows the end, on the steady clock
     */
    static void endIncarnation(SchedulerTick tick, String executor, String reason, long readMs) {
        SchedulerWorld world = tick.world();
        for (RunRow run : List.copyOf(world.runs().group(executor))) {
            if (Math.max(run.sentMs(), run.orderAnsweredMs()) < readMs) {
                removeAndRequeue(tick, run, reason, 0);
            }
        }
        dropFinishedRuns(world, executor);
        long leaseEndMs =
                world.executorSessions()
                        .find(executor)
                        .map(ExecutorSessionRow::leaseEndMs)
                        .orElse(0L);
        world.executorSessions().put(executor, ExecutorSessionRow.initial(executor, leaseEndMs));
        HeartbeatResults.extendLeaseOfUnknownClock(tick, executor);
        world.executors().update(executor, ExecutorRow::asConfirmed);
    }

    /** Drops finished runs that were not acknowledged yet and that nothing lists any more. */
    private static void dropFinishedRuns(SchedulerWorld world, String executor) {
        for (FinishedRunRow finished : List.copyOf(world.finishedRuns().group(executor))) {
            world.finishedRuns().remove(finished.key());
        }
    }

    /**
     * Removes an executor that has ended for good, and requeues its runs.
     *
     * @param reason cause for the log and the counter
     */
    public static void removeExecutor(SchedulerTick tick, String executor, String reason) {
        SchedulerWorld world = tick.world();
        tick.log("executor-gone", "executor=" + executor + " reason=" + reason);
        endIncarnation(tick, executor, reason, Long.MAX_VALUE);
        world.executors().remove(executor);
        world.executorSessions().remove(executor);
        world.executorHealth().remove(executor);
    }

    /**
     * Applies that an executor has restarted under the same id, as its answer to a heartbeat shows.
     * The lists in that answer then decide on the runs that either incarnation has answered for.
     *
     * <p>A start order that the earlier incarnation did not answer may still reach the new one. Its
     * run is therefore ordered to stop instead of being requeued: otherwise the task could run
     * twice.
     */
    static void handleRestart(SchedulerTick tick, String executor) {
        SchedulerWorld world = tick.world();
        dropFinishedRuns(world, executor);
        for (RunRow run : List.copyOf(world.runs().group(executor))) {
            if (run.stage() == RunStage.SENT) {
                handleUnansweredStart(tick, run);
            } else if (run.reason() == StopReason.UNCERTAIN_START) {
                requestStop(tick, run, StopReason.UNCERTAIN_START);
            }
        }
        for (UncertainStartRow row : world.uncertainStarts().rows()) {
            if (row.executor().equals(executor)) {
                world.uncertainStarts().put(row.key(), row.withCancelPending());
            }
        }
    }

    /** Records a start order that got no response, and orders its run to stop. */
    static void handleUnansweredStart(SchedulerTick tick, RunRow run) {
        StartKey key = new StartKey(run.task(), run.run());
        tick.world()
                .uncertainStarts()
                .put(key, new UncertainStartRow(key, run.executor(), tick.nowMs(), false, 0));
        requestStop(tick, run, StopReason.UNCERTAIN_START);
    }

    /** Returns the fields that identify a run in log lines. */
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
