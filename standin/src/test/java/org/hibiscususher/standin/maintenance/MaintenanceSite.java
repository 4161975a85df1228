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

/**
 * A virtual site with two pools under steady load.
 *
 * <p>After every virtual millisecond it checks what maintenance must never break: planned outages
 * stay within each pool's availability budget, a host reported idle runs no request, and slot
 * permits for a host are in use under one pool only.
 */
final class MaintenanceSite {
    /** Age of the platform's host list when entries read it, in milliseconds. */
    static final int HOST_LIST_LAG_MS = 2_000;

    private final VirtualSite mSite;
    private final List<String> mViolations = new ArrayList<>();
    private final List<VirtualRequest> mRequests = new ArrayList<>();
    private final Map<String, Integer> mHostsOutBefore = new HashMap<>();
    private final Map<String, Long> mOutageSeenMs = new HashMap<>();
    private boolean mLoadEnabled = true;

    MaintenanceSite(long seed, int entries) {
        mSite = VirtualSite.create(seed, ControlSettings.DEFAULT);
        for (int i = 1; i <= entries; i++) {
            mSite.start("e" + i, "z" + (i % 3));
        }
        mSite.run(500);
        mSite.setAfterStep(this::checkGuarantees);
    }

    VirtualSite site() {
        return mSite;
    }

    /** Returns the guarantees broken so far, those that the platform observed included. */
    List<String> violations() {
        List<String> all = new ArrayList<>(mViolations);
        all.addAll(mSite.platform().violations());
        return all;
    }

    /**
     * Returns the finished requests that started on a host but got no complete response, and those
     * that ended without a response, refusal or cancellation. None are expected unless a host is
     * lost.
     */
    List<VirtualRequest> interruptedRequests() {
        return mRequests.stream()
                .filter(r -> r.isFinished() && !r.isAnswered() && !r.isCancelled())
                .filter(r -> r.refusal().isEmpty() || r.runCount() > 0)
                .toList();
    }

    long answeredCount() {
        return mRequests.stream().filter(VirtualRequest::isAnswered).count();
    }

    void setLoadEnabled(boolean value) {
        mLoadEnabled = value;
    }

    /** Applies a release note and asserts that it is accepted. */
    void apply(String text) {
        ParsedNote parsed = NoteReader.read("note", text);
        assertThat(parsed.findings()).isEmpty();
        long callId = mSite.submitNote("e1", parsed.note());
        mSite.run(1_500);
        assertThat(mSite.noteReplies().get(callId).result()).isEqualTo(NoteResult.ACCEPTED);
    }

    /**
     * Creates pools a and b with queues qa and qb.
     *
     * <p>Each pool has an availability budget of 2 hosts, 1 of them per zone.
     *
     * @param hostsPerPool hosts of each pool, spread over zones z0 to z2
     */
    void createPools(int hostsPerPool) {
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
        mSite.startHostListUpdates(HOST_LIST_LAG_MS);
    }

    /**
     * Returns the line of a release note that declares a host with 4 slots.
     *
     * @param i number of the host within its pool; decides its zone and port
     */
    static String hostLine(String id, int i, String pool) {
        return "    - {name: %s, address: \"127.0.0.1:%d\", zone: z%d, pool: %s, slots: 4}\n"
                .formatted(id, 100 * id.charAt(0) + i, i % 3, pool);
    }

    /** Runs for a time while every running entry gets one request per queue every 20 ms. */
    void run(long ms) {
        for (long end = mSite.nowMs() + ms; mSite.nowMs() < end; ) {
            if (mLoadEnabled) {
                for (VirtualEntry entry : mSite.entries().values()) {
                    if (entry.processState() == ProcessState.RUNNING) {
                        mRequests.add(sendRequest(entry, "qa"));
                        mRequests.add(sendRequest(entry, "qb"));
                    }
                }
            }
            mSite.run(20);
        }
    }

    private VirtualRequest sendRequest(VirtualEntry entry, String queue) {
        return mSite.sendRequest(entry.id(), queue, "fitters", randomRunMs());
    }

    /** Returns a random run time: 4 s for one request in 50, under 90 ms for the others. */
    private int randomRunMs() {
        return mSite.random().nextInt(50) == 0 ? 4_000 : 30 + mSite.random().nextInt(60);
    }

    /** Plans and starts a wave over all pools; returns the id of the start command. */
    long startWave() {
        mSite.sendWaveCommand("e1", WaveCommand.PLAN, List.of());
        run(500);
        long callId = mSite.sendWaveCommand("e1", WaveCommand.START, List.of());
        run(500);
        return callId;
    }

    /** Returns the stored wave record, or empty. */
    Optional<WaveRecord> wave() {
        return mSite.store().find(RecordKey.WAVE).map(r -> (WaveRecord) r.value());
    }

    /** Runs until the wave is done or the limit has passed; returns the elapsed milliseconds. */
    long runWave(long limitMs) {
        long startMs = mSite.nowMs();
        while (mSite.nowMs() - startMs < limitMs
                && wave().map(w -> w.state() != WaveState.DONE).orElse(true)) {
            run(200);
        }
        return mSite.nowMs() - startMs;
    }

    /** Returns the pool that the store assigns a host to, empty if the host is not stored. */
    String poolOf(String host) {
        return mSite.store()
                .find(RecordKey.host(host))
                .map(r -> ((HostRecord) r.value()).pool())
                .orElse("");
    }

    private Configuration configuration() {
        return mSite.entries().get("e1").world().configuration();
    }

    private void checkGuarantees() {
        Map<String, List<String>> zonesOfHostsOut = new HashMap<>();
        for (HostSpec spec : configuration().hosts().values()) {
            String host = spec.id();
            String pool = poolOf(host);
            Optional<Outage> outage = outage(pool, host);
            boolean down = mSite.platform().isDown(host);
            if (outage.isPresent() || down) {
                zonesOfHostsOut.computeIfAbsent(pool, p -> new ArrayList<>()).add(spec.zone());
            }
            checkIdle(host, outage);
            checkUsedInOnePool(host);
        }
        for (String pool : configuration().pools().keySet()) {
            checkBudget(pool, zonesOfHostsOut.getOrDefault(pool, List.of()));
        }
    }

    /** Returns the stored outage of a host, if it is for the current generation of its record. */
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

    /**
     * Checks the number of hosts out against the pool's budget, in total and per zone.
     *
     * <p>Only an increase beyond the budget is a violation: lost hosts alone may exceed it, but no
     * planned outage may be added then.
     */
    private void checkBudget(String pool, List<String> zones) {
        AvailabilityBudget budget = configuration().pools().get(pool).budget();
        checkIncrease(pool, zones.size(), budget.maxUnavailable());
        for (String zone : List.of("z0", "z1", "z2")) {
            int inZone = (int) zones.stream().filter(zone::equals).count();
            checkIncrease(pool + "/" + zone, inZone, budget.maxUnavailablePerZone());
        }
    }

    private void checkIncrease(String scope, int out, int budget) {
        int before = mHostsOutBefore.getOrDefault(scope, 0);
        if (out > before && out > budget) {
            mViolations.add(scope + " has " + out + " hosts out at " + mSite.nowMs() + " ms");
        }
        mHostsOutBefore.put(scope, out);
    }

    private void checkIdle(String host, Optional<Outage> outage) {
        VirtualTarget target = mSite.target(host);
        if (outage.filter(Outage::idle).isPresent() && target.runningRequests() > 0) {
            mViolations.add(host + " runs requests while its outage is marked idle");
        }
        if (outage.isEmpty()) {
            mOutageSeenMs.remove(host);
        } else {
            mOutageSeenMs.putIfAbsent(host, mSite.nowMs());
        }
    }

    /** Checks that slot permits for a host are in use under one pool at most. */
    private void checkUsedInOnePool(String host) {
        String poolInUse = "";
        for (VirtualEntry entry : mSite.entries().values()) {
            if (!entry.processState().equals(ProcessState.DEAD)) {
                for (HoldingRow row : entry.world().holdings().rows()) {
                    boolean slot = row.key().kind() == PermitKind.SLOT;
                    if (slot && row.key().name().equals(host) && row.inUse() > 0) {
                        String pool = row.key().group();
                        if (!poolInUse.isEmpty() && !poolInUse.equals(pool)) {
                            mViolations.add(
                                    host
                                            + " has slots in use in pools "
                                            + poolInUse
                                            + " and "
                                            + pool);
                        }
                        poolInUse = pool;
                    }
                }
            }
        }
    }
}
