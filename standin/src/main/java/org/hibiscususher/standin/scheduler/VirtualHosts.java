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

/** The platform's hosts: each carries an executor, and ends it when it is maintained. */
final class VirtualHosts {
    private static final long ANSWER_MS = 10;
    private static final long SILENCE_MS = 1_500;
    private static final long MAINTENANCE_MS = 2_000;

    private final VirtualClock mClock;
    private final Random mRandom;
    private final InvariantChecker mInvariants;
    private final SchedulerSite mSite;
    private final WaveOrder mWave;
    private final Map<String, String> mExecutors = new LinkedHashMap<>();
    private final Set<String> mAway = new HashSet<>();
    private final Set<String> mMaintained = new HashSet<>();
    private double mLostShare;

    /** Creates the hosts of a site's executors, all of them part of a wave. */
    VirtualHosts(SchedulerSite site, Random random, WaveOrder wave) {
        mSite = site;
        mClock = site.clock();
        mInvariants = site.invariants();
        mRandom = random;
        mWave = wave;
        site.reports().forEach(report -> mExecutors.put(report.host(), report.id()));
    }

    /** Loses a share of the answers to orders. */
    void dropResponses(double share) {
        mLostShare = share;
    }

    /** Returns whether all hosts of the wave have been maintained. */
    boolean allMaintained() {
        return mMaintained.containsAll(mWave.hosts());
    }

    /** Answers a node that asks for the list. */
    void list(ListHosts list, Consumer<SchedulerInput> answer) {
        mClock.after(
                ANSWER_MS,
                () -> {
                    List<HostReport> hosts = new ArrayList<>();
                    mExecutors.forEach((host, executor) -> hosts.add(report(host, executor)));
                    answer.accept(new HostsListed(list.callId(), hosts));
                });
    }

    private HostReport report(String host, String executor) {
        boolean away = mAway.contains(host);
        return new HostReport(
                host,
                SchedulerSite.POOL,
                away ? HostState.MAINTENANCE : HostState.UP,
                "zone",
                List.of(),
                SchedulerSite.CAPACITY,
                away ? "" : executor);
    }

    /** Carries out an order of a node. */
    void maintain(String node, MaintainHost order, Consumer<SchedulerInput> answer) {
        boolean lost = mRandom.nextDouble() < mLostShare;
        mClock.after(
                ANSWER_MS,
                () -> {
                    HostOrderResult result = startMaintenance(node, order);
                    HostOrderResult told = lost ? HostOrderResult.NO_ANSWER : result;
                    mClock.after(
                            lost ? SILENCE_MS : ANSWER_MS,
                            () ->
                                    answer.accept(
                                            new HostOrderCompleted(
                                                    order.callId(), order.host(), told)));
                });
    }

    private HostOrderResult startMaintenance(String node, MaintainHost order) {
        String host = order.host();
        mInvariants.recordHostOrder(host, node, mClock.nowMs());
        if (mMaintained.contains(host)) {
            return HostOrderResult.DONE;
        }
        mMaintained.add(host);
        mAway.add(host);
        mInvariants.checkHostsOutOfService(
                mAway.size(), mWave.maxConcurrentHosts(), mClock.nowMs());
        ExecutorReport ended = mSite.endExecutor(mExecutors.get(host));
        mClock.after(
                MAINTENANCE_MS,
                () -> {
                    mAway.remove(host);
                    mExecutors.put(host, mSite.addExecutor(ended));
                });
        return HostOrderResult.DONE;
    }
}
