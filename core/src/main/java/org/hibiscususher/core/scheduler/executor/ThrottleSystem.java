package org.hibiscususher.core.scheduler.executor;

import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.job.JobLifecycle;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HeartbeatAnswered;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.ThrottleRun;
import org.hibiscususher.core.scheduler.term.Authority;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunStage;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;

/**
 * Throttles best-effort runs that make a task on the same executor miss its latency goal.
 *
 * <p>Best-effort runs use the processor time that other tasks leave, and the load of these changes
 * within seconds. A tail latency near its goal halves the speed of the best-effort runs at once,
 * and one at the goal pauses them. They speed up again in small steps while the latency stays well
 * below the goal.
 */
public final class ThrottleSystem {
    private static final int FULL_PERCENT = 100;

    /** Tail latency from which best-effort runs slow down, in percent of the goal. */
    private static final long SLOW_DOWN_FROM_PERCENT = 80;

    /** Tail latency below which best-effort runs speed up, in percent of the goal. */
    private static final long SPEED_UP_BELOW_PERCENT = 55;

    /** Increase of speed per heartbeat, in percent of full speed. */
    private static final int SPEED_UP_STEP_PERCENT = 20;

    private ThrottleSystem() {}

    /** Throttles on each executor that has responded to a heartbeat in this tick. */
    public static void run(SchedulerTick tick) {
        if (!Authority.mayOrderExecutors(tick)) {
            return;
        }
        for (HeartbeatAnswered answer : tick.inputs(HeartbeatAnswered.class)) {
            ExecutorRow executor = tick.world().executors().find(answer.executor()).orElse(null);
            if (executor != null) {
                throttle(tick, executor);
            }
        }
    }

    private static void throttle(SchedulerTick tick, ExecutorRow executor) {
        SchedulerWorld world = tick.world();
        long worstPercent = -1;
        List<RunRow> bestEffortRuns = new ArrayList<>();
        for (RunRow run : world.runs().group(executor.id())) {
            StepSpec spec = JobLifecycle.findSpec(world, run.task().stepKey()).orElse(null);
            if (spec == null || run.stage() != RunStage.RUNNING) {
                continue;
            }
            if (spec.bestEffortCpu()) {
                bestEffortRuns.add(run);
            } else if (spec.latencyGoalMs() > 0 && run.load() >= 0) {
                worstPercent = Math.max(worstPercent, run.load() * 100 / spec.latencyGoalMs());
            }
        }
        for (RunRow run : bestEffortRuns) {
            setSpeed(tick, executor, run, nextSpeedPercent(run.speedLimitPercent(), worstPercent));
        }
    }

    /**
     * Returns the next speed of a best-effort run, in percent of its full speed; 0 pauses it.
     *
     * @param speedPercent its speed now, in percent of its full speed
     * @param worstPercent highest tail latency on its executor, in percent of the goal; -1 if no
     *     task there has a goal
     */
    static int nextSpeedPercent(int speedPercent, long worstPercent) {
        if (worstPercent >= FULL_PERCENT) {
            return 0;
        }
        if (worstPercent >= SLOW_DOWN_FROM_PERCENT) {
            return speedPercent / 2;
        }
        return worstPercent < SPEED_UP_BELOW_PERCENT
                ? Math.min(FULL_PERCENT, speedPercent + SPEED_UP_STEP_PERCENT)
                : speedPercent;
    }

    private static void setSpeed(
            SchedulerTick tick, ExecutorRow executor, RunRow run, int speedPercent) {
        if (speedPercent == run.speedLimitPercent()) {
            return;
        }
        tick.world().runs().put(run.task(), run.withSpeedLimit(speedPercent));
        tick.count("pace");
        tick.emit(
                new ThrottleRun(
                        executor.id(),
                        executor.report().address(),
                        tick.world().term().get().fence(),
                        run.task(),
                        run.run(),
                        speedPercent));
    }
}
