package org.hibiscususher.standin.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.hibiscususher.core.message.Outage;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.StoreRecord.OutageRecord;
import org.hibiscususher.core.message.StoreRecord.WaveRecord;
import org.hibiscususher.core.message.WaveCommand;
import org.hibiscususher.core.message.WaveState;
import org.hibiscususher.core.world.ControlSettings;
import org.hibiscususher.standin.virtual.VirtualEntry;
import org.hibiscususher.standin.virtual.VirtualRequest;
import org.hibiscususher.standin.virtual.VirtualSite;

/**
 * Measures a whole maintenance wave over five pools of eight hosts under load, in virtual time.
 *
 * <p>Prints the length of the wave beside the time that the hosts would take one after the other,
 * which is the sum of their outages in the same run. The column {@code cut} counts the reboots that
 * interrupted requests and the requests that ran without being answered.
 */
public final class WaveBench {
    private static final int ENTRIES = 9;
    private static final int POOLS = 5;
    private static final int HOSTS_PER_POOL = 8;
    private static final int ZONES = 4;
    private static final int REBOOT_MS = 60_000;

    /** Age of the platform's list of hosts when the entries get it. */
    private static final int LIST_LAG_MS = 5_000;

    private static final int STEP_MS = 100;

    /** Mean run time of a request. */
    private static final int RUN_MS = 2_000;

    /** Interval at which each entry gets one request for each pool. */
    private static final int LOAD_INTERVAL_MS = 500;

    private static final long TIME_LIMIT_MS = 4 * 60 * 60 * 1_000L;
    private static final double MS_PER_SECOND = 1_000;

    private final VirtualSite mSite;
    private final List<VirtualRequest> mRequests = new ArrayList<>();

    /** Start of the current outage of each host that is out of service. */
    private final Map<String, Long> mOutSinceMs = new HashMap<>();

    /** Sum of the lengths of all finished outages. */
    private long mTotalOutageMs;

    private int mMaxHostsOut;

    private WaveBench(long seed) {
        mSite = VirtualSite.create(seed, ControlSettings.DEFAULT);
    }

    /**
     * Runs one wave per seed and prints a line for each.
     *
     * @param args seeds; by default 1, 2 and 3
     */
    public static void main(String[] args) {
        List<String> seeds = args.length == 0 ? List.of("1", "2", "3") : List.of(args);
        System.out.println(
                "seed  wave s  one at a time s  ratio  most out  answered  cut  refused  writes"
                        + "  reads");
        for (String seed : seeds) {
            new WaveBench(Long.parseLong(seed)).run(seed);
        }
    }

    private void run(String seed) {
        WaveSiteSetup.open(mSite, ENTRIES, POOLS, HOSTS_PER_POOL, ZONES, 0);
        mSite.platform().setRebootMs(REBOOT_MS);
        mSite.startHostListUpdates(LIST_LAG_MS);
        runLoad(10_000);
        long writesBefore = mSite.store().writes();
        long readsBefore = mSite.store().reads();
        mSite.sendWaveCommand("e1", WaveCommand.PLAN, List.of());
        runLoad(1_000);
        mSite.sendWaveCommand("e1", WaveCommand.START, List.of());
        long startMs = mSite.nowMs();
        while (!isDone() && mSite.nowMs() - startMs < TIME_LIMIT_MS) {
            runLoad(STEP_MS);
            sampleOutages();
        }
        long waveMs = mSite.nowMs() - startMs;
        System.out.printf(
                Locale.ROOT,
                "%4s  %6.0f  %15.0f  %5.2f  %8d  %8d  %3d  %7d  %6d  %5d%s%n",
                seed,
                waveMs / MS_PER_SECOND,
                mTotalOutageMs / MS_PER_SECOND,
                (double) mTotalOutageMs / waveMs,
                mMaxHostsOut,
                mRequests.stream().filter(VirtualRequest::isAnswered).count(),
                mSite.platform().violations().size()
                        + mRequests.stream().filter(r -> r.runCount() > 0 && isLost(r)).count(),
                mRequests.stream()
                        .filter(r -> r.refusal().isPresent() && r.runCount() == 0)
                        .count(),
                mSite.store().writes() - writesBefore,
                mSite.store().reads() - readsBefore,
                isDone() ? "" : "  NOT DONE");
    }

    private static boolean isLost(VirtualRequest request) {
        return request.isFinished() && !request.isAnswered();
    }

    private boolean isDone() {
        return mSite.store()
                .find(RecordKey.WAVE)
                .map(r -> ((WaveRecord) r.value()).state() == WaveState.DONE)
                .orElse(false);
    }

    /** Runs the site for a time while all entries get requests for all pools. */
    private void runLoad(long ms) {
        for (long end = mSite.nowMs() + ms; mSite.nowMs() < end; mSite.run(STEP_MS)) {
            if (mSite.nowMs() % LOAD_INTERVAL_MS != 0) {
                continue;
            }
            for (VirtualEntry entry : mSite.entries().values()) {
                for (int pool = 0; pool < POOLS; pool++) {
                    int runMs = RUN_MS / 2 + mSite.random().nextInt(RUN_MS);
                    mRequests.add(mSite.sendRequest(entry.id(), "q" + pool, "fitters", runMs));
                }
            }
        }
    }

    /** Records which hosts are out of service, by the outage records in the store. */
    private void sampleOutages() {
        int hostsOut = 0;
        for (int pool = 0; pool < POOLS; pool++) {
            Optional<OutageRecord> record =
                    mSite.store()
                            .find(RecordKey.outages("p" + pool))
                            .map(r -> (OutageRecord) r.value());
            Map<String, Outage> outages = new HashMap<>();
            record.ifPresent(r -> outages.putAll(r.outages()));
            hostsOut += outages.size();
            outages.keySet().forEach(h -> mOutSinceMs.putIfAbsent(h, mSite.nowMs()));
            String prefix = "p" + pool + "-";
            for (String host : List.copyOf(mOutSinceMs.keySet())) {
                if (host.startsWith(prefix) && !outages.containsKey(host)) {
                    mTotalOutageMs += mSite.nowMs() - mOutSinceMs.remove(host);
                }
            }
        }
        mMaxHostsOut = Math.max(mMaxHostsOut, hostsOut);
    }
}
