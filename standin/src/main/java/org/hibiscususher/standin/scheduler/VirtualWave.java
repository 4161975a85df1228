package org.hibiscususher.standin.scheduler;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.hibiscususher.core.scheduler.message.ExecutorReport;
import org.hibiscususher.core.scheduler.message.RecordKind;
import org.hibiscususher.core.scheduler.message.RecordName;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.message.WaveOrder;

/** The maintenance wave of a simulated site, which has one at most. */
final class VirtualWave {
    private static final long NUMBER = 1;
    private static final long DURATION_MS = 60_000;

    private final SchedulerSite mSite;
    private final Random mRandom;
    private Optional<VirtualHosts> mHosts = Optional.empty();
    private List<WaveOrder> mOrders = List.of();

    VirtualWave(SchedulerSite site, Random random) {
        mSite = requireNonNull(site);
        mRandom = requireNonNull(random);
    }

    /** Returns what operators have ordered: the wave, once it has started. */
    List<WaveOrder> orders() {
        return mOrders;
    }

    /** Returns the hosts of the wave; empty before it has started. */
    Optional<VirtualHosts> hosts() {
        return mHosts;
    }

    /**
     * Starts the wave over the hosts of all executors.
     *
     * @param maxHosts greatest number of hosts out of service at once
     */
    WaveOrder start(int maxHosts) {
        List<String> ids = mSite.reports().stream().map(ExecutorReport::host).toList();
        WaveOrder wave = new WaveOrder(NUMBER, ids, DURATION_MS, maxHosts);
        mHosts = Optional.of(new VirtualHosts(mSite, mRandom, wave));
        mOrders = List.of(wave);
        return wave;
    }

    /**
     * Returns whether the maintenance of each host of the wave has started and the stored status of
     * the wave reports it as done.
     */
    boolean isDone() {
        RecordName name = RecordName.of(RecordKind.WAVE_STATUS, Long.toString(NUMBER));
        StoredRecord status = mSite.store().find(name).orElse(null);
        return mHosts.filter(VirtualHosts::allMaintenanceStarted).isPresent()
                && status instanceof StoredRecord.WaveStatus waveStatus
                && waveStatus.done();
    }

    /**
     * Drops responses to maintenance orders for a time; the orders still take effect.
     *
     * @param share probability that a response is dropped, 0 to 1
     */
    void dropOrderResponses(double share, long forMs) {
        mHosts.ifPresent(hosts -> hosts.dropResponses(share));
        mSite.schedule(forMs, () -> mHosts.ifPresent(hosts -> hosts.dropResponses(0)));
    }
}
