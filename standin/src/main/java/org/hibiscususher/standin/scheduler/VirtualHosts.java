package org.hibiscususher.standin.scheduler;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.hibiscususher.core.scheduler.message.ExecutorReport;
import org.hibiscususher.core.scheduler.message.HostOrderResult;
import org.hibiscususher.core.scheduler.message.HostReport;
import org.hibiscususher.core.scheduler.message.HostState;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HostOrderCompleted;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HostsListed;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.ListHosts;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.MaintainHost;
import org.hibiscususher.core.scheduler.message.WaveOrder;

/**
 * Simulated hosts of the platform, all part of one wave. Each runs an executor, which the
 * maintenance of the host kills and replaces by another one.
 */
final class VirtualHosts {
    private static final long LATENCY_MS = 10;

    /** Time after which the sender of an order without a response sees it fail. */
    private static final long NO_ANSWER_MS = 1_500;

    private static final long MAINTENANCE_DURATION_MS = 2_000;

    private final VirtualClock mClock;
    private final Random mRandom;
    private final InvariantChecker mInvariants;
    private final SchedulerSite mSite;
    private final WaveOrder mWave;

    /** Id of the current executor, by host. */
    private final Map<String, String> mExecutors = new LinkedHashMap<>();

    private final Set<String> mOutOfService = new HashSet<>();
    private final Set<String> mMaintenanceStarted = new HashSet<>();
    private double mDroppedResponseShare;

    /** Creates the hosts of a site's current executors. */
    VirtualHosts(SchedulerSite site, Random random, WaveOrder wave) {
        mSite = site;
        mClock = site.clock();
        mInvariants = site.invariants();
        mRandom = random;
        mWave = wave;
        site.reports().forEach(report -> mExecutors.put(report.host(), report.id()));
    }

    /**
     * Drops responses to maintenance orders; the orders still take effect.
     *
     * @param share probability that a response is dropped, 0 to 1
     */
    void dropResponses(double share) {
        mDroppedResponseShare = share;
    }

    /** Returns whether the maintenance of each host of the wave has at least started. */
    boolean allMaintenanceStarted() {
        return mMaintenanceStarted.containsAll(mWave.hosts());
    }

    /** Responds to a request for the list of hosts. */
    void list(ListHosts list, Consumer<SchedulerInput> sink) {
        mClock.after(
                LATENCY_MS,
                () -> {
                    List<HostReport> hosts = new ArrayList<>();
                    mExecutors.forEach((host, executor) -> hosts.add(report(host, executor)));
                    sink.accept(new HostsListed(list.callId(), hosts));
                });
    }

    private HostReport report(String host, String executor) {
        boolean outOfService = mOutOfService.contains(host);
        return new HostReport(
                host,
                SchedulerSite.POOL,
                outOfService ? HostState.MAINTENANCE : HostState.UP,
                VirtualZones.zoneOf(Integer.parseInt(host.substring(1))),
                List.of(),
                VirtualExecutors.CAPACITY,
                outOfService ? "" : executor);
    }

    /**
     * Handles a node's order to maintain a host.
     *
     * @param sink gets the result
     */
    void maintain(String node, MaintainHost order, Consumer<SchedulerInput> sink) {
        boolean dropped = mRandom.nextDouble() < mDroppedResponseShare;
        mClock.after(
                LATENCY_MS,
                () -> {
                    HostOrderResult result = startMaintenance(node, order);
                    HostOrderResult reported = dropped ? HostOrderResult.NO_ANSWER : result;
                    mClock.after(
                            dropped ? NO_ANSWER_MS : LATENCY_MS,
                            () ->
                                    sink.accept(
                                            new HostOrderCompleted(
                                                    order.callId(), order.host(), reported)));
                });
    }

    /** Takes a host out of service for its maintenance; a repeated order has no effect. */
    private HostOrderResult startMaintenance(String node, MaintainHost order) {
        String host = order.host();
        mInvariants.recordHostOrder(host, node, mClock.nowMs());
        if (mMaintenanceStarted.contains(host)) {
            return HostOrderResult.DONE;
        }
        mMaintenanceStarted.add(host);
        mOutOfService.add(host);
        mInvariants.checkHostsOutOfService(
                mOutOfService.size(), mWave.maxConcurrentHosts(), mClock.nowMs());
        ExecutorReport ended = mSite.endExecutor(mExecutors.get(host));
        mClock.after(
                MAINTENANCE_DURATION_MS,
                () -> {
                    mOutOfService.remove(host);
                    mExecutors.put(host, mSite.addExecutor(ended));
                });
        return HostOrderResult.DONE;
    }
}
