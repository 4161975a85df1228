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
 * Slows down filling tasks where they make a serving task miss its goal.
 *
 * <p>Answers load that changes within seconds: a serving task's tail latency near its goal slows
 * the fillers beside it at once; they speed up again in small steps while it stays well below.
 */
public final class ThrottleSystem {
    private static final int FULL = 100;

    /** Tail latency from which fillers are slowed down, in percent of the goal. */
    private static final long SLOW_FROM_PERCENT = 80;

    /** Tail latency below which fillers speed up, in percent of the goal. */
    private static final long SPEED_BELOW_PERCENT = 55;

    private static final int STEP_UP = 20;

    private ThrottleSystem() {}

    /** Runs over the executors that have just told their runs. */
    public static void run(SchedulerTick tick) {
        if (!Authority.mayOrderExecutors(tick)) {
            return;
        }
        for (HeartbeatAnswered answer : tick.inputs(HeartbeatAnswered.class)) {
            ExecutorRow executor = tick.world().executors().find(answer.executor()).orElse(null);
            if (executor != null) {
                pace(tick, executor);
            }
        }
    }

    private static void pace(SchedulerTick tick, ExecutorRow executor) {
        SchedulerWorld world = tick.world();
        long worst = -1;
        List<RunRow> fillers = new ArrayList<>();
        for (RunRow run : world.runs().group(executor.id())) {
            StepSpec spec = JobLifecycle.findSpec(world, run.task().stepKey()).orElse(null);
            if (spec == null || run.stage() != RunStage.RUNNING) {
                continue;
            }
            if (spec.bestEffortCpu()) {
                fillers.add(run);
            } else if (spec.latencyGoalMs() > 0 && run.load() >= 0) {
                worst = Math.max(worst, run.load() * 100 / spec.latencyGoalMs());
            }
        }
        for (RunRow run : fillers) {
            set(tick, executor, run, nextSpeedPercent(run.speedLimitPercent(), worst));
        }
    }

    /**
     * Returns the next pace of a filler.
     *
     * @param pace its pace in percent
     * @param worst worst tail latency beside it, in percent of the goal; -1 if nothing serves there
     */
    static int nextSpeedPercent(int pace, long worst) {
        if (worst >= FULL) {
            return 0;
        }
        if (worst >= SLOW_FROM_PERCENT) {
            return pace / 2;
        }
        return worst < SPEED_BELOW_PERCENT ? Math.min(FULL, pace + STEP_UP) : pace;
    }

    private static void set(SchedulerTick tick, ExecutorRow executor, RunRow run, int pace) {
        if (pace == run.speedLimitPercent()) {
            return;
        }
        tick.world().runs().put(run.task(), run.withSpeedLimit(pace));
        tick.count("pace");
        tick.emit(
                new ThrottleRun(
                        executor.id(),
                        executor.report().address(),
                        tick.world().term().get().fence(),
                        run.task(),
                        run.run(),
                        pace));
    }
}
