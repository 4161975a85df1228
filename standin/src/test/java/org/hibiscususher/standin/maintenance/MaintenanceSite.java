package org.hibiscususher.standin.maintenance;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hibiscususher.core.config.AvailabilityBudget;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.config.HostSpec;
import org.hibiscususher.core.config.KeyDigest;
import org.hibiscususher.core.message.NoteResult;
import org.hibiscususher.core.message.Outage;
import org.hibiscususher.core.message.PermitKind;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.StoreRecord.HostRecord;
import org.hibiscususher.core.message.StoreRecord.OutageRecord;
import org.hibiscususher.core.message.StoreRecord.WaveRecord;
import org.hibiscususher.core.message.WaveCommand;
import org.hibiscususher.core.message.WaveState;
import org.hibiscususher.core.world.ControlSettings;
import org.hibiscususher.core.world.HoldingRow;
import org.hibiscususher.standin.virtual.ProcessState;
import org.hibiscususher.standin.virtual.VirtualEntry;
import org.hibiscususher.standin.virtual.VirtualRequest;
import org.hibiscususher.standin.virtual.VirtualSite;
import org.hibiscususher.standin.virtual.VirtualTarget;
import org.hibiscususher.wire.yaml.NoteReader;
import org.hibiscususher.wire.yaml.ParsedNote;

/** A site with pools under load whose promises are checked after every virtual millisecond. */
final class MaintenanceSite {
    static final int LIST_LAG_MS = 2_000;

    private final VirtualSite mSite;
    private final List<String> mViolations = new ArrayList<>();
    private final List<VirtualRequest> mCalls = new ArrayList<>();
    private final Map<String, Integer> mOutBefore = new HashMap<>();
    private final Map<String, Long> mRecalledMs = new HashMap<>();
    private boolean mLoaded = true;

    MaintenanceSite(long seed, int entries) {
        mSite = VirtualSite.create(seed, ControlSettings.DEFAULT);
        for (int i = 1; i <= entries; i++) {
            mSite.start("e" + i, "z" + (i % 3));
        }
        mSite.run(500);
        mSite.setAfterStep(this::check);
    }

    VirtualSite site() {
        return mSite;
    }

    List<String> violations() {
        List<String> all = new ArrayList<>(mViolations);
        all.addAll(mSite.platform().violations());
        return all;
    }

    /** Returns the calls whose callers saw no whole answer, though their target was not lost. */
    List<VirtualRequest> cut() {
        return mCalls.stream()
                .filter(r -> r.isFinished() && !r.isAnswered() && !r.isCancelled())
                .filter(r -> r.refusal().isEmpty() || r.runCount() > 0)
                .toList();
    }

    long answered() {
        return mCalls.stream().filter(VirtualRequest::isAnswered).count();
    }

    void setLoaded(boolean value) {
        mLoaded = value;
    }

    void apply(String text) {
        ParsedNote parsed = NoteReader.read("note", text);
        assertThat(parsed.findings()).isEmpty();
        long call = mSite.submitNote("e1", parsed.note());
        mSite.run(1_500);
        assertThat(mSite.noteReplies().get(call).result()).isEqualTo(NoteResult.ACCEPTED);
    }

    /** Opens pools a and b of some hosts each, over three zones, with a budget of 2 and 1. */
    void open(int hostsPerPool) {
        StringBuilder hosts = new StringBuilder();
        for (String pool : List.of("a", "b")) {
            for (int i = 1; i <= hostsPerPool; i++) {
                String id = pool + i;
                mSite.platform().addHost(id);
                hosts.append(hostLine(id, i, pool));
            }
        }
        apply(
                """
                note: opening
                author: anna
                added:
                  pools:
                    - {name: a, hosts out at most: 2}
                    - {name: b, hosts out at most: 2}
                  hosts:
                %s  teams: [{name: fitters, share: 1, upper limit: 400}]
                  keys: [{name: k, team: fitters, digest: %s}]
                  queues:
                    - {name: qa, pool: a, run limit ms: 6000}
                    - {name: qb, pool: b, run limit ms: 6000}
                """
                        .formatted(hosts, KeyDigest.ofSecret("fitters").toHex()));
        mSite.startHostListUpdates(LIST_LAG_MS);
    }

    static String hostLine(String id, int i, String pool) {
        return "    - {name: %s, address: \"127.0.0.1:%d\", zone: z%d, pool: %s, slots: 4}\n"
                .formatted(id, 100 * id.charAt(0) + i, i % 3, pool);
    }

    /** Runs with a call at each running entry and queue every 20 ms. */
    void run(long ms) {
        for (long end = mSite.nowMs() + ms; mSite.nowMs() < end; ) {
            if (mLoaded) {
                for (VirtualEntry entry : mSite.entries().values()) {
                    if (entry.processState() == ProcessState.RUNNING) {
                        mCalls.add(call(entry, "qa"));
                        mCalls.add(call(entry, "qb"));
                    }
                }
            }
            mSite.run(20);
        }
    }

    private VirtualRequest call(VirtualEntry entry, String queue) {
        return mSite.sendRequest(entry.id(), queue, "fitters", runMs());
    }

    /** Returns a run time: mostly short, now and then several seconds. */
    private int runMs() {
        return mSite.random().nextInt(50) == 0 ? 4_000 : 30 + mSite.random().nextInt(60);
    }

    long startWave() {
        mSite.sendWaveCommand("e1", WaveCommand.PLAN, List.of());
        run(500);
        long call = mSite.sendWaveCommand("e1", WaveCommand.START, List.of());
        run(500);
        return call;
    }

    Optional<WaveRecord> wave() {
        return mSite.store().find(RecordKey.WAVE).map(r -> (WaveRecord) r.value());
    }

    /** Runs until the wave is done or the time is up; returns how long that took. */
    long runWave(long limitMs) {
        long startMs = mSite.nowMs();
        while (mSite.nowMs() - startMs < limitMs
                && wave().map(w -> w.state() != WaveState.DONE).orElse(true)) {
            run(200);
        }
        return mSite.nowMs() - startMs;
    }

    String poolOf(String host) {
        return mSite.store()
                .find(RecordKey.host(host))
                .map(r -> ((HostRecord) r.value()).pool())
                .orElse("");
    }

    private Configuration configuration() {
        return mSite.entries().get("e1").world().configuration();
    }

    private void check() {
        Map<String, List<String>> out = new HashMap<>();
        for (HostSpec spec : configuration().hosts().values()) {
            String host = spec.id();
            String pool = poolOf(host);
            Optional<Outage> outage = outage(pool, host);
            boolean down = mSite.platform().isDown(host);
            if (outage.isPresent() || down) {
                out.computeIfAbsent(pool, p -> new ArrayList<>()).add(spec.zone());
            }
            checkIdle(host, outage);
            checkPools(host);
        }
        for (String pool : configuration().pools().keySet()) {
            checkBudget(pool, out.getOrDefault(pool, List.of()));
        }
    }

    private Optional<Outage> outage(String pool, String host) {
        long generation =
                mSite.store()
                        .find(RecordKey.host(host))
                        .map(r -> ((HostRecord) r.value()).generation())
                        .orElse(0L);
        return mSite.store()
                .find(RecordKey.outages(pool))
                .map(r -> ((OutageRecord) r.value()).outages().get(host))
                .filter(o -> o.generation() == generation);
    }

    /** No planned outage may be added when the pool is at its budget. */
    private void checkBudget(String pool, List<String> zones) {
        AvailabilityBudget budget = configuration().pools().get(pool).budget();
        check(pool, zones.size(), budget.maxUnavailable());
        for (String zone : List.of("z0", "z1", "z2")) {
            int inZone = (int) zones.stream().filter(zone::equals).count();
            check(pool + "/" + zone, inZone, budget.maxUnavailablePerZone());
        }
    }

    private void check(String place, int out, int budget) {
        int before = mOutBefore.getOrDefault(place, 0);
        if (out > before && out > budget) {
            mViolations.add(place + " has " + out + " hosts out at " + mSite.nowMs());
        }
        mOutBefore.put(place, out);
    }

    private void checkIdle(String host, Optional<Outage> outage) {
        VirtualTarget target = mSite.target(host);
        if (outage.filter(Outage::idle).isPresent() && target.runningRequests() > 0) {
            mViolations.add(host + " runs work while it is out");
        }
        if (outage.isEmpty()) {
            mRecalledMs.remove(host);
        } else {
            mRecalledMs.putIfAbsent(host, mSite.nowMs());
        }
    }

    /** Permits for a host may be in use under one pool at most. */
    private void checkPools(String host) {
        String seen = "";
        for (VirtualEntry entry : mSite.entries().values()) {
            if (!entry.processState().equals(ProcessState.DEAD)) {
                for (HoldingRow row : entry.world().holdings().rows()) {
                    boolean slot = row.key().kind() == PermitKind.SLOT;
                    if (slot && row.key().name().equals(host) && row.inUse() > 0) {
                        String pool = row.key().group();
                        if (!seen.isEmpty() && !seen.equals(pool)) {
                            mViolations.add(host + " is used in " + seen + " and " + pool);
                        }
                        seen = pool;
                    }
                }
            }
        }
    }
}
