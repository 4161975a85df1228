package org.hibiscususher.standin.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.hibiscususher.core.job.FinishedRun;
import org.hibiscususher.core.job.ReportedRun;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.RunOutcome;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.job.TaskKey;
import org.hibiscususher.core.scheduler.message.ExecutorReport;
import org.hibiscususher.core.scheduler.message.HeartbeatFailure;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HeartbeatAnswered;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HeartbeatFailed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.StartCallCompleted;
import org.hibiscususher.core.scheduler.message.SchedulerInput.StopCallCompleted;
import org.hibiscususher.core.scheduler.message.SchedulerOutput;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.SendHeartbeat;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.StartRun;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.StopRun;
import org.hibiscususher.core.scheduler.message.StartResult;
import org.hibiscususher.core.scheduler.message.StopResult;

/** An executor: runs tasks under a lease, refuses earlier owners, lists ends until acknowledged. */
final class VirtualExecutor {
    private static final long LINK_MS = 1;
    private static final long KILL_MS = 100;
    private static final long SILENCE_MS = 500;
    private static final long MIN_LATE_MS = 2_000;
    private static final int LATE_SPREAD_MS = 6_000;
    private static final long MAX_HOLD_MS = 6_000;

    private final VirtualClock mClock;
    private final Random mRandom;
    private final InvariantChecker mInvariants;
    private final Map<TaskKey, Active> mRunning = new LinkedHashMap<>();
    private final Map<TaskKey, Integer> mHighest = new HashMap<>();
    private final List<FinishedRun> mEnds = new ArrayList<>();
    private final List<Runnable> mWaiting = new ArrayList<>();
    private final Set<String> mCutFrom = new HashSet<>();
    private ExecutorReport mReport;
    private long mBornMs;
    private long mFence;
    private long mLeaseEndMs;
    private long mEndNumber;
    private double mLateShare;
    private boolean mFailsAll;
    private boolean mDark;
    private boolean mEnded;

    VirtualExecutor(
            VirtualClock clock, Random random, InvariantChecker invariants, ExecutorReport report) {
        mClock = clock;
        mRandom = random;
        mInvariants = invariants;
        mReport = report;
        mBornMs = report.startedAtMs();
    }

    private record Active(int run, StepSpec step, String checkpoint) {}

    ExecutorReport report() {
        return mReport;
    }

    void setDelayedOrderShare(double share) {
        mLateShare = share;
    }

    void setFailsAllRuns(boolean fails) {
        mFailsAll = fails;
    }

    void setSilent(boolean dark) {
        mDark = dark;
    }

    void cutFrom(String node, boolean cut) {
        if (cut) {
            mCutFrom.add(node);
        } else {
            mCutFrom.remove(node);
        }
    }

    /** Ends everything, for good. */
    void end() {
        mRunning.keySet().forEach(task -> mInvariants.recordEnd(task, id(), Optional.empty()));
        mRunning.clear();
        mEnded = true;
    }

    /** Ends everything and begins another life that knows nothing. */
    void restart() {
        if (mEnded) {
            return;
        }
        mRunning.keySet().forEach(task -> mInvariants.recordEnd(task, id(), Optional.empty()));
        mRunning.clear();
        mHighest.clear();
        mEnds.clear();
        mEndNumber = 0;
        mFence = 0;
        mLeaseEndMs = 0;
        mBornMs = mClock.nowMs() + 1;
        mReport =
                new ExecutorReport(
                        mReport.id(),
                        mReport.pool(),
                        mReport.address(),
                        mReport.zone(),
                        mReport.host(),
                        mReport.labels(),
                        mReport.capacity(),
                        false,
                        0,
                        mBornMs);
    }

    private String id() {
        return mReport.id();
    }

    private long clockMs() {
        return mClock.nowMs() - mBornMs;
    }

    /** Carries out an order of a node. */
    void call(
            String node,
            SchedulerOutput output,
            Function<TaskKey, StepSpec> steps,
            Consumer<SchedulerInput> answer) {
        boolean order = !(output instanceof SendHeartbeat);
        if (mDark || mEnded || mCutFrom.contains(node)) {
            mClock.after(SILENCE_MS, () -> answer.accept(noAnswer(output)));
        } else if (order && mRandom.nextDouble() < mLateShare) {
            long lateMs = MIN_LATE_MS + mRandom.nextInt(LATE_SPREAD_MS);
            mClock.after(lateMs, () -> carryOut(output, steps, input -> {}));
            mClock.after(SILENCE_MS, () -> answer.accept(noAnswer(output)));
        } else {
            mClock.after(
                    LINK_MS,
                    () ->
                            carryOut(
                                    output,
                                    steps,
                                    input -> mClock.after(LINK_MS, () -> answer.accept(input))));
        }
    }

    private static SchedulerInput noAnswer(SchedulerOutput output) {
        if (output instanceof SendHeartbeat hold) {
            return new HeartbeatFailed(hold.callId(), hold.executor(), HeartbeatFailure.NO_ANSWER);
        } else if (output instanceof StartRun start) {
            return new StartCallCompleted(
                    start.callId(), start.task(), start.run(), StartResult.NO_ANSWER);
        }
        StopRun stop = (StopRun) output;
        return new StopCallCompleted(stop.callId(), stop.task(), stop.run(), StopResult.NO_ANSWER);
    }

    private void carryOut(
            SchedulerOutput output,
            Function<TaskKey, StepSpec> steps,
            Consumer<SchedulerInput> answer) {
        if (output instanceof SendHeartbeat hold) {
            heartbeat(hold, answer);
        } else if (output instanceof StartRun start) {
            StartResult result = start(start, steps.apply(start.task()));
            answer.accept(
                    new StartCallCompleted(start.callId(), start.task(), start.run(), result));
        } else if (output instanceof StopRun stop) {
            answer.accept(
                    new StopCallCompleted(stop.callId(), stop.task(), stop.run(), stop(stop)));
        }
    }

    private void heartbeat(SendHeartbeat hold, Consumer<SchedulerInput> answer) {
        if (hold.fence() < mFence) {
            answer.accept(new HeartbeatFailed(hold.callId(), id(), HeartbeatFailure.FENCED));
            return;
        }
        mFence = hold.fence();
        extendLease(hold.leaseDeadlineMs());
        for (FinishedRun end : mEnds) {
            if (end.sequence() <= hold.acknowledgedSequence() && end.outcome() == RunOutcome.DONE) {
                mInvariants.recordAcknowledgment(end.task());
            }
        }
        mEnds.removeIf(end -> end.sequence() <= hold.acknowledgedSequence());
        boolean[] answered = {false};
        Runnable reply =
                () -> {
                    if (!answered[0]) {
                        answered[0] = true;
                        answer.accept(heartbeatResponse(hold));
                    }
                };
        if (hold.waitMs() == 0 || !mEnds.isEmpty()) {
            reply.run();
        } else {
            mWaiting.add(reply);
            mClock.after(hold.waitMs(), reply);
        }
    }

    private HeartbeatAnswered heartbeatResponse(SendHeartbeat hold) {
        List<ReportedRun> runs = new ArrayList<>();
        mRunning.forEach(
                (task, active) ->
                        runs.add(
                                new ReportedRun(task, active.run(), active.checkpoint(), 100, -1)));
        return new HeartbeatAnswered(hold.callId(), id(), mBornMs, clockMs(), runs, mEnds);
    }

    private void extendLease(long deadlineMs) {
        long endMs = Math.min(deadlineMs, clockMs() + MAX_HOLD_MS);
        if (endMs > mLeaseEndMs) {
            mLeaseEndMs = endMs;
            long bornMs = mBornMs;
            mClock.after(
                    endMs - clockMs() + 1,
                    () -> {
                        if (bornMs == mBornMs && clockMs() > mLeaseEndMs) {
                            List.copyOf(mRunning.keySet())
                                    .forEach(task -> end(task, RunOutcome.LAPSED));
                        }
                    });
        }
    }

    private StartResult start(StartRun start, StepSpec step) {
        if (start.fence() < mFence) {
            return StartResult.FENCED;
        }
        mFence = start.fence();
        Active there = mRunning.get(start.task());
        if (there != null && there.run() == start.run()) {
            return StartResult.STARTED;
        }
        if (start.run() <= mHighest.getOrDefault(start.task(), 0) || there != null) {
            return StartResult.OLD;
        }
        if (start.deadlineMs() <= clockMs()) {
            return StartResult.LATE;
        }
        extendLease(start.deadlineMs());
        Resources reserved = step.reserved();
        for (Active active : mRunning.values()) {
            reserved = reserved.plus(active.step().reserved());
        }
        if (!reserved.fitsIn(mReport.capacity())) {
            return StartResult.NO_ROOM;
        }
        mRunning.put(start.task(), new Active(start.run(), step, start.checkpoint()));
        mInvariants.recordStart(start.task(), id(), mReport.draining(), mClock.nowMs());
        long bornMs = mBornMs;
        if (!step.service()) {
            RunOutcome kind = mFailsAll ? RunOutcome.FAILED : RunOutcome.DONE;
            mClock.after(
                    Math.max(1, step.estimateMs()),
                    () -> {
                        Active active = mRunning.get(start.task());
                        boolean same = active != null && active.run() == start.run();
                        if (same && bornMs == mBornMs) {
                            end(start.task(), kind);
                        }
                    });
        }
        return StartResult.STARTED;
    }

    private StopResult stop(StopRun stop) {
        if (stop.fence() < mFence) {
            return StopResult.FENCED;
        }
        mFence = stop.fence();
        mHighest.merge(stop.task(), stop.run(), Math::max);
        Active active = mRunning.get(stop.task());
        if (active != null && active.run() == stop.run()) {
            mClock.after(
                    KILL_MS,
                    () -> {
                        Active now = mRunning.get(stop.task());
                        if (now != null && now.run() == stop.run()) {
                            end(stop.task(), RunOutcome.STOPPED);
                        }
                    });
        }
        return StopResult.STOPPED;
    }

    private void end(TaskKey task, RunOutcome kind) {
        Active active = mRunning.remove(task);
        mHighest.merge(task, active.run(), Math::max);
        mEnds.add(new FinishedRun(++mEndNumber, task, active.run(), kind, ""));
        mInvariants.recordEnd(task, id(), Optional.of(kind));
        List<Runnable> waiting = List.copyOf(mWaiting);
        mWaiting.clear();
        waiting.forEach(Runnable::run);
    }
}
