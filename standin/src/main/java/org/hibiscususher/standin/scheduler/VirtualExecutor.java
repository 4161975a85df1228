package org.hibiscususher.standin.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.BooleanSupplier;
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

/**
 * Simulated executor. It runs tasks only while its lease is valid, rejects orders of former owners
 * by their fence, and reports each finished run until the scheduler acknowledges it. Deadlines in
 * orders are times of the executor's own clock, which starts at 0 with each incarnation.
 */
final class VirtualExecutor {
    /** Time from a stop order to the end of the run. */
    private static final long STOP_MS = 100;

    /** Most finished runs in one response to a heartbeat. */
    private static final int MAX_LISTED_FINISHED_RUNS = 500;

    /** Time after which the sender of a call without a response sees it fail. */
    private static final long NO_ANSWER_MS = 500;

    /** Least delay of a delayed order. */
    private static final long MIN_ORDER_DELAY_MS = 2_000;

    /** Range of the random addition to the delay of a delayed order. */
    private static final int ORDER_DELAY_SPREAD_MS = 6_000;

    /** Longest time from now to which an order can extend the lease. */
    private static final long MAX_LEASE_MS = 6_000;

    private static final long TRUE_CLOCK_RATE = 1_000;

    private final VirtualClock mClock;
    private final Random mRandom;
    private final InvariantChecker mInvariants;
    private final Map<TaskKey, ActiveRun> mRunning = new LinkedHashMap<>();

    /** Highest run number finished or ordered to stop; a start of no higher number is outdated. */
    private final Map<TaskKey, Integer> mHighestRuns = new HashMap<>();

    /** Finished runs that the scheduler has not acknowledged. */
    private final List<FinishedRun> mFinishedRuns = new ArrayList<>();

    /** Replies to heartbeats that wait for a run to finish. */
    private final List<Runnable> mPendingReplies = new ArrayList<>();

    /** The links to the entries, by entry. */
    private final Map<String, ExecutorLink> mLinks = new HashMap<>();

    /** State of the links to entries that have not called yet. */
    private LinkState mLinkState = LinkState.OPEN;

    private ExecutorReport mReport;
    private long mStartedAtMs;

    /** Speed of the executor's clock, in thousandths of that of virtual time. */
    private long mClockRate = TRUE_CLOCK_RATE;

    /** Highest fence seen; orders with a lower one come from a former owner. */
    private long mFence;

    private long mLeaseDeadlineMs;
    private long mLastSequence;
    private double mDelayedOrderShare;
    private boolean mFailsAllRuns;
    private int mRunTimeFactor = 1;
    private long mSuspendedUntilMs;
    private boolean mEnded;

    VirtualExecutor(
            VirtualClock clock, Random random, InvariantChecker invariants, ExecutorReport report) {
        mClock = clock;
        mRandom = random;
        mInvariants = invariants;
        mReport = report;
        mStartedAtMs = report.startedAtMs();
    }

    /**
     * A run in progress.
     *
     * @param run number of the run among the runs of its task
     * @param step step of the task
     * @param checkpoint checkpoint that the run started from; empty for none
     */
    private record ActiveRun(int run, StepSpec step, String checkpoint) {}

    ExecutorReport report() {
        return mReport;
    }

    void setDelayedOrderShare(double share) {
        mDelayedOrderShare = share;
    }

    void setFailsAllRuns(boolean fails) {
        mFailsAllRuns = fails;
    }

    /** Sets how many times as long as estimated runs take that start from now on. */
    void setRunTimeFactor(int factor) {
        mRunTimeFactor = factor;
    }

    /** Sets the state of the links to all entries. */
    void setLinkState(LinkState state) {
        mLinkState = state;
        mLinks.values().forEach(link -> link.setState(state));
    }

    /** Sets the state of the link to one entry. */
    void setLinkState(String node, LinkState state) {
        link(node).setState(state);
    }

    private ExecutorLink link(String node) {
        return mLinks.computeIfAbsent(
                node,
                n -> {
                    ExecutorLink link = new ExecutorLink(mClock);
                    link.setState(mLinkState);
                    return link;
                });
    }

    /** Suspends the process: what it receives is carried out later. Its clock and leases go on. */
    void suspend(long forMs) {
        mSuspendedUntilMs = mClock.nowMs() + forMs;
    }

    /** Kills the executor and its runs for good. */
    void end() {
        mRunning.keySet().forEach(task -> mInvariants.recordEnd(task, id(), Optional.empty()));
        mRunning.clear();
        mEnded = true;
    }

    /** Kills the executor's runs and starts a new incarnation with no state; not after its end. */
    void restart() {
        if (mEnded) {
            return;
        }
        mRunning.keySet().forEach(task -> mInvariants.recordEnd(task, id(), Optional.empty()));
        mRunning.clear();
        mHighestRuns.clear();
        mFinishedRuns.clear();
        mPendingReplies.clear();
        mLinks.values().forEach(ExecutorLink::endConnections);
        mSuspendedUntilMs = 0;
        mLastSequence = 0;
        mFence = 0;
        mLeaseDeadlineMs = 0;
        mStartedAtMs = mClock.nowMs() + 1;
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
                        mStartedAtMs);
    }

    private String id() {
        return mReport.id();
    }

    /**
     * Returns the time of the executor's own clock, in milliseconds since its incarnation began.
     */
    private long clockMs() {
        return (mClock.nowMs() - mStartedAtMs) * mClockRate / TRUE_CLOCK_RATE;
    }

    /** Sets the speed of the executor's clock, in thousandths of that of virtual time. */
    void setClockRate(long thousandths) {
        mClockRate = thousandths;
    }

    /**
     * Handles a call of a node, subject to the simulated faults.
     *
     * @param output a heartbeat, start order or stop order
     * @param maySend whether the call may still be sent if a connection opens late
     * @param steps returns the step of a task
     * @param sink gets the response or the failure
     */
    void call(
            String node,
            SchedulerOutput output,
            BooleanSupplier maySend,
            Function<TaskKey, StepSpec> steps,
            Consumer<SchedulerInput> sink) {
        boolean order = !(output instanceof SendHeartbeat);
        if (mEnded) {
            mClock.after(NO_ANSWER_MS, () -> sink.accept(noAnswer(output)));
        } else if (link(node).isOpen() && order && mRandom.nextDouble() < mDelayedOrderShare) {
            long delayMs = MIN_ORDER_DELAY_MS + mRandom.nextInt(ORDER_DELAY_SPREAD_MS);
            mClock.after(delayMs, () -> execute(output, steps, input -> {}));
            mClock.after(NO_ANSWER_MS, () -> sink.accept(noAnswer(output)));
        } else {
            long waitMs = output instanceof SendHeartbeat heartbeat ? heartbeat.waitMs() : 0;
            link(node)
                    .send(
                            new ExecutorCall(
                                    order ? CallKind.ORDER : CallKind.HEARTBEAT,
                                    mClock.nowMs(),
                                    NO_ANSWER_MS + waitMs,
                                    maySend,
                                    answers -> executeWhenAwake(output, steps, answers),
                                    noAnswer(output),
                                    notSent(output),
                                    sink));
        }
    }

    /** Returns what the sender of a call sees if no connection carried it. */
    private static SchedulerInput notSent(SchedulerOutput output) {
        return output instanceof StartRun start
                ? new StartCallCompleted(
                        start.callId(), start.task(), start.run(), StartResult.NOT_SENT)
                : noAnswer(output);
    }

    /** Carries out a call, and answers it, when the process is not suspended. */
    private void executeWhenAwake(
            SchedulerOutput output,
            Function<TaskKey, StepSpec> steps,
            Consumer<SchedulerInput> sink) {
        whenAwake(() -> execute(output, steps, answer -> whenAwake(() -> sink.accept(answer))));
    }

    /** Runs an action now, or when the process goes on; not if it has restarted then. */
    private void whenAwake(Runnable action) {
        long restMs = mSuspendedUntilMs - mClock.nowMs();
        long startedAtMs = mStartedAtMs;
        if (restMs <= 0) {
            action.run();
        } else {
            mClock.after(
                    restMs,
                    () -> {
                        if (startedAtMs == mStartedAtMs) {
                            action.run();
                        }
                    });
        }
    }

    /** Returns the failure that the sender of an unanswered call sees. */
    private static SchedulerInput noAnswer(SchedulerOutput output) {
        if (output instanceof SendHeartbeat request) {
            return new HeartbeatFailed(
                    request.callId(), request.executor(), HeartbeatFailure.NO_ANSWER);
        } else if (output instanceof StartRun start) {
            return new StartCallCompleted(
                    start.callId(), start.task(), start.run(), StartResult.NO_ANSWER);
        }
        StopRun stop = (StopRun) output;
        return new StopCallCompleted(stop.callId(), stop.task(), stop.run(), StopResult.NO_ANSWER);
    }

    private void execute(
            SchedulerOutput output,
            Function<TaskKey, StepSpec> steps,
            Consumer<SchedulerInput> sink) {
        if (output instanceof SendHeartbeat request) {
            heartbeat(request, sink);
        } else if (output instanceof StartRun start) {
            StartResult result = start(start, steps.apply(start.task()));
            sink.accept(
                    new StartCallCompleted(
                            start.callId(), start.task(), start.run(), result, clockMs()));
        } else if (output instanceof StopRun stop) {
            sink.accept(new StopCallCompleted(stop.callId(), stop.task(), stop.run(), stop(stop)));
        }
    }

    /**
     * Extends the lease and discards the acknowledged finished runs. The response waits, up to the
     * time that the request allows, until there is a finished run to report; if the executor
     * restarts meanwhile, there is none.
     */
    private void heartbeat(SendHeartbeat request, Consumer<SchedulerInput> sink) {
        if (request.fence() < mFence) {
            sink.accept(new HeartbeatFailed(request.callId(), id(), HeartbeatFailure.FENCED));
            return;
        }
        mFence = request.fence();
        extendLease(request.leaseDeadlineMs());
        for (FinishedRun finished : mFinishedRuns) {
            if (finished.sequence() <= request.acknowledgedSequence()
                    && finished.outcome() == RunOutcome.DONE) {
                mInvariants.recordAcknowledgment(finished.task());
            }
        }
        mFinishedRuns.removeIf(finished -> finished.sequence() <= request.acknowledgedSequence());
        boolean[] replied = {false};
        long startedAtMs = mStartedAtMs;
        Runnable reply =
                () -> {
                    if (!replied[0]) {
                        replied[0] = true;
                        if (startedAtMs == mStartedAtMs) {
                            sink.accept(heartbeatResponse(request));
                        } else {
                            mClock.after(NO_ANSWER_MS, () -> sink.accept(noAnswer(request)));
                        }
                    }
                };
        if (request.waitMs() == 0 || !mFinishedRuns.isEmpty()) {
            reply.run();
        } else {
            mPendingReplies.add(reply);
            mClock.after(request.waitMs(), reply);
        }
    }

    private HeartbeatAnswered heartbeatResponse(SendHeartbeat request) {
        List<ReportedRun> runs = new ArrayList<>();
        mRunning.forEach(
                (task, active) ->
                        runs.add(
                                new ReportedRun(task, active.run(), active.checkpoint(), 100, -1)));
        int listed = Math.min(MAX_LISTED_FINISHED_RUNS, mFinishedRuns.size());
        return new HeartbeatAnswered(
                request.callId(),
                id(),
                mStartedAtMs,
                clockMs(),
                runs,
                mFinishedRuns.subList(0, listed),
                listed < MAX_LISTED_FINISHED_RUNS);
    }

    /** Extends the lease; when it expires, all runs end as {@link RunOutcome#LAPSED}. */
    private void extendLease(long deadlineMs) {
        long newDeadlineMs = Math.min(deadlineMs, clockMs() + MAX_LEASE_MS);
        if (newDeadlineMs > mLeaseDeadlineMs) {
            mLeaseDeadlineMs = newDeadlineMs;
            long startedAtMs = mStartedAtMs;
            mClock.after(
                    (newDeadlineMs - clockMs() + 1) * TRUE_CLOCK_RATE / mClockRate + 1,
                    () -> {
                        if (startedAtMs == mStartedAtMs && clockMs() > mLeaseDeadlineMs) {
                            List.copyOf(mRunning.keySet())
                                    .forEach(task -> finish(task, RunOutcome.LAPSED));
                        }
                    });
        }
    }

    /**
     * Starts a run, unless its order is from a former owner, outdated, past its deadline, or
     * demands more than the free capacity. A repeated order is confirmed without a second run.
     */
    private StartResult start(StartRun start, StepSpec step) {
        if (start.fence() < mFence) {
            return StartResult.FENCED;
        }
        mFence = start.fence();
        ActiveRun current = mRunning.get(start.task());
        if (current != null && current.run() == start.run()) {
            return StartResult.STARTED;
        }
        if (start.run() <= mHighestRuns.getOrDefault(start.task(), 0) || current != null) {
            return StartResult.OLD;
        }
        if (start.deadlineMs() <= clockMs()) {
            return StartResult.LATE;
        }
        extendLease(start.deadlineMs());
        Resources reserved = step.reserved();
        for (ActiveRun active : mRunning.values()) {
            reserved = reserved.plus(active.step().reserved());
        }
        if (!reserved.fitsIn(mReport.capacity())) {
            return StartResult.NO_ROOM;
        }
        mRunning.put(start.task(), new ActiveRun(start.run(), step, start.checkpoint()));
        mInvariants.recordStart(start.task(), id(), mReport.draining(), mClock.nowMs());
        mInvariants.checkStartInZone(start.task(), mReport.zone(), mClock.nowMs());
        long startedAtMs = mStartedAtMs;
        if (!step.service()) {
            RunOutcome outcome = mFailsAllRuns ? RunOutcome.FAILED : RunOutcome.DONE;
            mClock.after(
                    Math.max(1, mRunTimeFactor * step.estimateMs()),
                    () -> {
                        ActiveRun active = mRunning.get(start.task());
                        boolean sameRun = active != null && active.run() == start.run();
                        if (sameRun && startedAtMs == mStartedAtMs) {
                            finish(start.task(), outcome);
                        }
                    });
        }
        return StartResult.STARTED;
    }

    /** Stops a run, and rejects a start of it that arrives later. */
    private StopResult stop(StopRun stop) {
        if (stop.fence() < mFence) {
            return StopResult.FENCED;
        }
        mFence = stop.fence();
        mHighestRuns.merge(stop.task(), stop.run(), Math::max);
        ActiveRun active = mRunning.get(stop.task());
        if (active != null && active.run() == stop.run()) {
            mClock.after(
                    STOP_MS,
                    () -> {
                        ActiveRun current = mRunning.get(stop.task());
                        if (current != null && current.run() == stop.run()) {
                            finish(stop.task(), RunOutcome.STOPPED);
                        }
                    });
        }
        return StopResult.STOPPED;
    }

    /** Ends a run, stores its outcome until it is acknowledged, and sends the pending replies. */
    private void finish(TaskKey task, RunOutcome outcome) {
        ActiveRun active = mRunning.remove(task);
        mHighestRuns.merge(task, active.run(), Math::max);
        mFinishedRuns.add(new FinishedRun(++mLastSequence, task, active.run(), outcome, ""));
        mInvariants.recordEnd(task, id(), Optional.of(outcome));
        List<Runnable> replies = List.copyOf(mPendingReplies);
        mPendingReplies.clear();
        replies.forEach(Runnable::run);
    }
}
