package org.hibiscususher.standin.scheduler;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.hibiscususher.core.scheduler.control.Scheduler;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ConfigurationUpdated;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ExecutorsListed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HostListFailed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.OwnershipUpdated;
import org.hibiscususher.core.scheduler.message.SchedulerInput.WaveOrdered;
import org.hibiscususher.core.scheduler.message.SchedulerOutput;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Commit;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Forward;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.GrantLease;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.ListHosts;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.LoadRecords;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.MaintainHost;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.RenewLease;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Respond;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.SendHeartbeat;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.StartRun;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.StopRun;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.WatchExecutors;
import org.hibiscususher.core.scheduler.world.SchedulerSettings;
import org.hibiscususher.core.scheduler.world.SchedulerTiming;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;

/** An entry: the real scheduler, with its outputs carried out in virtual time. */
final class VirtualNode {
    private static final long TICK_MS = 20;

    private final SchedulerSite mSite;
    private final String mName;
    private Scheduler mScheduler;
    private List<SchedulerInput> mInputs = new ArrayList<>();
    private long mLife;
    private boolean mUp;
    private boolean mFrozen;
    private long mSuspendedMs;
    private boolean mScheduled;
    private boolean mFollowing;

    VirtualNode(SchedulerSite site, String name) {
        mSite = site;
        mName = name;
    }

    String name() {
        return mName;
    }

    boolean isUp() {
        return mUp;
    }

    /** Returns the tables. */
    SchedulerWorld world() {
        return mScheduler.world();
    }

    boolean owns() {
        return mUp && mScheduler.world().term().get().isScheduling();
    }

    /** Starts a process that knows nothing. */
    void start() {
        mLife++;
        mUp = true;
        mFollowing = false;
        mInputs = new ArrayList<>();
        mScheduler =
                Scheduler.create(
                        new SchedulerSettings(
                                mName,
                                mSite.clock().nowMs() + 1,
                                mName,
                                mSite.nodes(),
                                Math.floorMod(mName.hashCode(), 40),
                                SchedulerTiming.DEFAULT));
        long life = mLife;
        add(new ConfigurationUpdated(mSite.plan(), 1));
        mSite.waves().forEach(wave -> add(new WaveOrdered(wave)));
        mSite.clock().after(1, () -> storeChanged());
        periodic(life);
    }

    /** Ends the process at once. */
    void kill() {
        mUp = false;
        mLife++;
    }

    /** Suspends the process for a time, which its steady clock does not count. */
    void freeze(long forMs) {
        mFrozen = true;
        mSuspendedMs += forMs;
        mSite.clock()
                .after(
                        forMs,
                        () -> {
                            mFrozen = false;
                            wake();
                        });
    }

    private void periodic(long life) {
        if (life == mLife) {
            wake();
            mSite.clock().after(TICK_MS, () -> periodic(life));
        }
    }

    /** Hands an input to the process, if it still is the one that it is meant for. */
    void add(SchedulerInput input) {
        mInputs.add(input);
        wake();
    }

    private void wake() {
        if (mUp && !mScheduled && !mFrozen) {
            mScheduled = true;
            mSite.clock().after(1, this::tick);
        }
    }

    private void tick() {
        mScheduled = false;
        if (!mUp || mFrozen) {
            return;
        }
        List<SchedulerInput> inputs = mInputs;
        mInputs = new ArrayList<>();
        long nowMs = mSite.clock().nowMs();
        for (SchedulerOutput output : mScheduler.tick(nowMs - mSuspendedMs, nowMs, inputs)) {
            carryOut(output);
        }
    }

    /** Tells the process what the store holds, as its watches do. */
    void storeChanged() {
        if (mUp && !mSite.kv().isAway(mName)) {
            add(new OwnershipUpdated(mSite.kv().ownership()));
        }
    }

    /** Tells the owner of the executors, as its watch does. */
    void executorsChanged() {
        if (mUp && mFollowing && !mSite.kv().isAway(mName)) {
            add(new ExecutorsListed(mSite.reports()));
        }
    }

    private Consumer<SchedulerInput> answers() {
        long life = mLife;
        return input -> {
            if (life == mLife) {
                add(input);
            }
        };
    }

    private void carryOut(SchedulerOutput output) {
        if (output instanceof SchedulerOutput.Log line) {
            mSite.log(mName, line);
        } else if (output instanceof Respond answer) {
            mSite.answered(answer.callId(), answer.response());
        } else if (output instanceof Forward forward) {
            mSite.forward(this, forward);
        } else if (output instanceof SchedulerOutput.AskRelinquish ask) {
            mSite.askYield(ask, answers());
        } else if (output instanceof SchedulerOutput.OfferHandover offer) {
            mSite.offer(offer);
        } else if (output instanceof WatchExecutors follow) {
            mFollowing = follow.enabled();
            mSite.clock().after(2, this::executorsChanged);
        } else if (output instanceof ListHosts list) {
            mSite.hosts()
                    .ifPresentOrElse(
                            hosts -> hosts.list(list, answers()),
                            () -> answers().accept(new HostListFailed(list.callId())));
        } else if (output instanceof MaintainHost order) {
            mSite.hosts().ifPresent(hosts -> hosts.maintain(mName, order, answers()));
        } else if (output instanceof GrantLease
                || output instanceof RenewLease
                || output instanceof Commit
                || output instanceof LoadRecords) {
            mSite.kv().call(mName, output, answers());
        } else {
            toExecutor(output);
        }
    }

    private void toExecutor(SchedulerOutput output) {
        String executor = "";
        if (output instanceof SendHeartbeat hold) {
            executor = hold.executor();
        } else if (output instanceof StartRun start) {
            executor = start.executor();
        } else if (output instanceof StopRun stop) {
            executor = stop.executor();
        }
        VirtualExecutor target = mSite.executor(executor);
        if (target != null) {
            target.call(mName, output, mSite::step, answers());
        }
    }
}
