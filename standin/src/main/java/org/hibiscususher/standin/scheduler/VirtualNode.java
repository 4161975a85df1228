package org.hibiscususher.standin.scheduler;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.hibiscususher.core.job.JobConfiguration;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobRequestKind;
import org.hibiscususher.core.scheduler.control.Scheduler;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ConfigurationUpdated;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ExecutorsListed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HostListFailed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.OwnershipUpdated;
import org.hibiscususher.core.scheduler.message.SchedulerInput.RequestReceived;
import org.hibiscususher.core.scheduler.message.SchedulerInput.WaveOrdered;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ZoneEvacuationRequested;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ZoneEvacuationWithdrawn;
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

/**
 * Simulated process of an entry: the production {@link Scheduler}, whose outputs are executed in
 * virtual time.
 */
final class VirtualNode {
    private static final long TICK_INTERVAL_MS = 20;

    private final SchedulerSite mSite;
    private final String mName;
    private Scheduler mScheduler;
    private List<SchedulerInput> mInputs = new ArrayList<>();

    /** Changes with each start and end; results for another process number are dropped. */
    private long mProcessNumber;

    private boolean mUp;
    private boolean mSuspended;

    /** Total time suspended, by which the steady clock lags behind. */
    private long mSuspendedMs;

    /** When the last suspension ends, in virtual time. */
    private long mResumesAtMs;

    /** When the last tick ends, in virtual time. */
    private long mBusyUntilMs;

    private boolean mTickScheduled;
    private boolean mWatchesExecutors;

    /** Version of the configuration that the process has received. */
    private long mVersion;

    /** Zones whose evacuation the process has received. */
    private Set<String> mEvacuatedZones = Set.of();

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

    /** Returns the tables of the current process. Callers only read them. */
    SchedulerWorld world() {
        return mScheduler.world();
    }

    /** Returns whether the process runs and believes that it owns the scheduling. */
    boolean isOwner() {
        return mUp && mScheduler.world().term().get().isScheduling();
    }

    /** Starts a new process with no state except the configuration and the ordered waves. */
    void start() {
        mProcessNumber++;
        mUp = true;
        mBusyUntilMs = 0;
        mWatchesExecutors = false;
        mEvacuatedZones = Set.of();
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
        long process = mProcessNumber;
        receiveConfiguration();
        mSite.waves().forEach(wave -> receive(new WaveOrdered(wave)));
        mSite.clock().after(1, () -> storeChanged());
        tickPeriodically(process);
    }

    /** Kills the process without notice. */
    void kill() {
        mUp = false;
        mProcessNumber++;
    }

    /**
     * Suspends the process for a time. Its steady clock stops meanwhile, as the clock of a
     * suspended virtual machine does, while the wall clock continues.
     */
    void freeze(long forMs) {
        mSuspended = true;
        mSuspendedMs += forMs;
        mResumesAtMs = Math.max(mResumesAtMs, mSite.clock().nowMs() + forMs);
        mSite.clock()
                .after(
                        forMs,
                        () -> {
                            mSuspended = false;
                            scheduleTick();
                        });
    }

    /** Pauses the process for a time. Its steady clock runs on, as for a starved process. */
    void pause(long forMs) {
        freeze(forMs);
        mSuspendedMs -= forMs;
    }

    /** Schedules a tick now and at each interval while the process is the current one. */
    private void tickPeriodically(long process) {
        if (process == mProcessNumber) {
            scheduleTick();
            mSite.clock().after(TICK_INTERVAL_MS, () -> tickPeriodically(process));
        }
    }

    /** Queues a request, which a suspended process reads once it runs again. */
    void receiveRequest(long callId, JobRequest request) {
        long readAtMs = Math.max(mSite.clock().nowMs(), mResumesAtMs);
        receive(new RequestReceived(callId, request, readAtMs - mSuspendedMs));
    }

    /** Queues an input for the next tick, and schedules that tick. */
    void receive(SchedulerInput input) {
        mInputs.add(input);
        scheduleTick();
    }

    /** Schedules a tick, unless one is scheduled or the process can't run. */
    private void scheduleTick() {
        if (mUp && !mTickScheduled && !mSuspended) {
            mTickScheduled = true;
            mSite.clock().after(Math.max(1, mBusyUntilMs - mSite.clock().nowMs()), this::tick);
        }
    }

    private void tick() {
        mTickScheduled = false;
        if (!mUp || mSuspended) {
            return;
        }
        List<SchedulerInput> inputs = mInputs;
        mInputs = new ArrayList<>();
        long nowMs = mSite.clock().nowMs();
        long tookMs = decisionMs(inputs);
        mBusyUntilMs = nowMs + tookMs;
        List<SchedulerOutput> outputs = mScheduler.tick(nowMs - mSuspendedMs, nowMs, inputs);
        if (tookMs == 0) {
            outputs.forEach(this::execute);
        } else {
            executeLater(outputs, tookMs);
        }
    }

    /**
     * Returns how long the process needs for the submissions in a tick; 0 unless it is the owner.
     */
    private long decisionMs(List<SchedulerInput> inputs) {
        return isOwner()
                ? mSite.decisionMs()
                        * inputs.stream()
                                .filter(i -> i instanceof RequestReceived r && isSubmission(r))
                                .count()
                : 0;
    }

    private static boolean isSubmission(RequestReceived received) {
        return received.request().kind() == JobRequestKind.SUBMIT;
    }

    /** Executes the outputs of a tick at its end, unless the process has ended by then. */
    private void executeLater(List<SchedulerOutput> outputs, long tookMs) {
        long process = mProcessNumber;
        mSite.clock()
                .after(
                        tookMs,
                        () -> {
                            if (process == mProcessNumber) {
                                outputs.forEach(this::execute);
                            }
                        });
    }

    private void receiveConfiguration() {
        JobConfiguration configuration = mSite.configuration();
        mVersion = configuration.version();
        receive(new ConfigurationUpdated(configuration, mVersion));
    }

    /**
     * Sends the process the current ownership and a new configuration, as its watch of the store
     * does.
     */
    void storeChanged() {
        if (mUp && !mSite.store().isUnreachable(mName)) {
            receiveEvacuations();
            receive(new OwnershipUpdated(mSite.store().ownership()));
            if (mSite.configuration().version() != mVersion) {
                receiveConfiguration();
            }
        }
    }

    /** Sends the requests to evacuate zones, and their withdrawals, that are new to the process. */
    private void receiveEvacuations() {
        Set<String> evacuated = mSite.zones().evacuated();
        for (String zone : mEvacuatedZones) {
            if (!evacuated.contains(zone)) {
                receive(new ZoneEvacuationWithdrawn(zone));
            }
        }
        for (String zone : evacuated) {
            if (!mEvacuatedZones.contains(zone)) {
                receive(new ZoneEvacuationRequested(zone));
            }
        }
        mEvacuatedZones = evacuated;
    }

    /** Sends the list of executors to a process that watches them. */
    void executorsChanged() {
        if (mUp && mWatchesExecutors && !mSite.store().isUnreachable(mName)) {
            receive(new ExecutorsListed(mSite.reports()));
        }
    }

    /**
     * Returns a sink for responses, which drops those that arrive after the current process ended.
     */
    private Consumer<SchedulerInput> inputSink() {
        long process = mProcessNumber;
        return input -> {
            if (process == mProcessNumber) {
                receive(input);
            }
        };
    }

    /** Executes an output of a tick. */
    private void execute(SchedulerOutput output) {
        if (output instanceof SchedulerOutput.Log logLine) {
            mSite.log(mName, logLine);
        } else if (output instanceof Respond respond) {
            mSite.deliverResponse(respond.callId(), respond.response());
        } else if (output instanceof Forward forward) {
            mSite.links().forward(this, forward);
        } else if (output instanceof SchedulerOutput.AskRelinquish ask) {
            mSite.links().askToRelinquish(this, ask, inputSink());
        } else if (output instanceof SchedulerOutput.OfferHandover offer) {
            mSite.links().offerHandover(this, offer);
        } else if (output instanceof WatchExecutors watch) {
            mWatchesExecutors = watch.enabled();
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
            sendToExecutor(output);
        }
    }

    /** Sends a heartbeat, start order or stop order; drops it if the executor does not exist. */
    private void sendToExecutor(SchedulerOutput output) {
        String executor = "";
        if (output instanceof SendHeartbeat heartbeat) {
            executor = heartbeat.executor();
        } else if (output instanceof StartRun start) {
            executor = start.executor();
        } else if (output instanceof StopRun stop) {
            executor = stop.executor();
        }
        VirtualExecutor target = mSite.executor(executor);
        if (target != null) {
            target.call(mName, output, () -> isValid(output), mSite::step, inputSink());
        }
    }

    /** Returns whether an output may still be sent by the clocks of the process. */
    private boolean isValid(SchedulerOutput output) {
        long nowMs = mSite.clock().nowMs();
        return !(output instanceof StartRun start)
                || !start.validity().isOver(nowMs - mSuspendedMs, nowMs);
    }
}
