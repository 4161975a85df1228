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
 * Measures a whole maintenance wave on a site of five pools of eight hosts in virtual time.
 *
 * <p>The time of one host at a time is the sum of the hosts' outages in the same run.
 */
public final class WaveBench {
    private static final int ENTRIES = 9;
    private static final int POOLS = 5;
    private static final int HOSTS_PER_POOL = 8;
    private static final int ZONES = 4;
    private static final int REBOOT_MS = 60_000;
    private static final int LIST_LAG_MS = 5_000;
    private static final int STEP_MS = 100;
    private static final int RUN_MS = 2_000;
    private static final int LOAD_INTERVAL_MS = 500;
    private static final long LIMIT_MS = 4 * 60 * 60 * 1_000L;
    private static final double MS_PER_SECOND = 1_000;

    private final VirtualSite mSite;
    private final List<VirtualRequest> mCalls = new ArrayList<>();
    private final Map<String, Long> mOutSince = new HashMap<>();
    private long mOutMs;
    private int mMostOut;

    private WaveBench(long seed) {
        mSite = VirtualSite.create(seed, ControlSettings.DEFAULT);
    }

    /** Runs the measurement; the arguments are seeds, by default 1, 2 and 3. */
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
        WaveSite.open(mSite, ENTRIES, POOLS, HOSTS_PER_POOL, ZONES, 0);
        mSite.platform().setRebootMs(REBOOT_MS);
        mSite.startHostListUpdates(LIST_LAG_MS);
        load(10_000);
        long writes = mSite.store().writes();
        long reads = mSite.store().reads();
        mSite.sendWaveCommand("e1", WaveCommand.PLAN, List.of());
        load(1_000);
        mSite.sendWaveCommand("e1", WaveCommand.START, List.of());
        long startMs = mSite.nowMs();
        while (!done() && mSite.nowMs() - startMs < LIMIT_MS) {
            load(STEP_MS);
            observe();
        }
        long waveMs = mSite.nowMs() - startMs;
        System.out.printf(
                Locale.ROOT,
                "%4s  %6.0f  %15.0f  %5.2f  %8d  %8d  %3d  %7d  %6d  %5d%s%n",
                seed,
                waveMs / MS_PER_SECOND,
                mOutMs / MS_PER_SECOND,
                (double) mOutMs / waveMs,
                mMostOut,
                mCalls.stream().filter(VirtualRequest::isAnswered).count(),
                mSite.platform().violations().size()
                        + mCalls.stream().filter(c -> c.runCount() > 0 && lost(c)).count(),
                mCalls.stream().filter(c -> c.refusal().isPresent() && c.runCount() == 0).count(),
                mSite.store().writes() - writes,
                mSite.store().reads() - reads,
                done() ? "" : "  NOT DONE");
    }

    private static boolean lost(VirtualRequest call) {
        return call.isFinished() && !call.isAnswered();
    }

    private boolean done() {
        return mSite.store()
                .find(RecordKey.WAVE)
                .map(r -> ((WaveRecord) r.value()).state() == WaveState.DONE)
                .orElse(false);
    }

    private void load(long ms) {
        for (long end = mSite.nowMs() + ms; mSite.nowMs() < end; mSite.run(STEP_MS)) {
            if (mSite.nowMs() % LOAD_INTERVAL_MS != 0) {
                continue;
            }
            for (VirtualEntry entry : mSite.entries().values()) {
                for (int pool = 0; pool < POOLS; pool++) {
                    int runMs = RUN_MS / 2 + mSite.random().nextInt(RUN_MS);
                    mCalls.add(mSite.sendRequest(entry.id(), "q" + pool, "fitters", runMs));
                }
            }
        }
    }

    private void observe() {
        int out = 0;
        for (int pool = 0; pool < POOLS; pool++) {
            Optional<OutageRecord> record =
                    mSite.store()
                            .find(RecordKey.outages("p" + pool))
                            .map(r -> (OutageRecord) r.value());
            Map<String, Outage> outages = new HashMap<>();
            record.ifPresent(r -> outages.putAll(r.outages()));
            out += outages.size();
            outages.keySet().forEach(h -> mOutSince.putIfAbsent(h, mSite.nowMs()));
            String prefix = "p" + pool + "-";
            for (String host : List.copyOf(mOutSince.keySet())) {
                if (host.startsWith(prefix) && !outages.containsKey(host)) {
                    mOutMs += mSite.nowMs() - mOutSince.remove(host);
                }
            }
        }
        mMostOut = Math.max(mMostOut, out);
    }
}
