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

    boolean isOwner() {
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
        receive(new ConfigurationUpdated(mSite.configuration(), 1));
        mSite.waves().forEach(wave -> receive(new WaveOrdered(wave)));
        mSite.clock().after(1, () -> storeChanged());
        tickPeriodically(life);
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
                            scheduleTick();
                        });
    }

    private void tickPeriodically(long life) {
        if (life == mLife) {
            scheduleTick();
            mSite.clock().after(TICK_MS, () -> tickPeriodically(life));
        }
    }

    /** Hands an input to the process, if it still is the one that it is meant for. */
    void receive(SchedulerInput input) {
        mInputs.add(input);
        scheduleTick();
    }

    private void scheduleTick() {
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
        if (mUp && !mSite.store().isUnreachable(mName)) {
            receive(new OwnershipUpdated(mSite.store().ownership()));
        }
    }

    /** Tells the owner of the executors, as its watch does. */
    void executorsChanged() {
        if (mUp && mFollowing && !mSite.store().isUnreachable(mName)) {
            receive(new ExecutorsListed(mSite.reports()));
        }
    }

    private Consumer<SchedulerInput> inputSink() {
        long life = mLife;
        return input -> {
            if (life == mLife) {
                receive(input);
            }
        };
    }

    private void carryOut(SchedulerOutput output) {
        if (output instanceof SchedulerOutput.Log line) {
            mSite.log(mName, line);
        } else if (output instanceof Respond answer) {
            mSite.deliverResponse(answer.callId(), answer.response());
        } else if (output instanceof Forward forward) {
            mSite.forward(this, forward);
        } else if (output instanceof SchedulerOutput.AskRelinquish ask) {
            mSite.askToRelinquish(ask, inputSink());
        } else if (output instanceof SchedulerOutput.OfferHandover offer) {
            mSite.offerHandover(offer);
        } else if (output instanceof WatchExecutors follow) {
            mFollowing = follow.enabled();
            mSite.clock().after(2, this::executorsChanged);
        } else if (output instanceof ListHosts list) {
            mSite.hosts()
                    .ifPresentOrElse(
                            hosts -> hosts.list(list, inputSink()),
                            () -> inputSink().accept(new HostListFailed(list.callId())));
        } else if (output instanceof MaintainHost order) {
            mSite.hosts().ifPresent(hosts -> hosts.maintain(mName, order, inputSink()));
        } else if (output instanceof GrantLease
                || output instanceof RenewLease
                || output instanceof Commit
                || output instanceof LoadRecords) {
            mSite.store().call(mName, output, inputSink());
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
            target.call(mName, output, mSite::step, inputSink());
        }
    }
}
