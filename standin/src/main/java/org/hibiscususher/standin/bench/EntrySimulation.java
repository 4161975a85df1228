package org.hibiscususher.standin.bench;

import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.config.QueueKind;
import org.hibiscususher.core.message.PermitGroup;
import org.hibiscususher.core.world.ControlSettings;
import org.hibiscususher.core.world.EscrowPolicy;
import org.hibiscususher.core.world.SchedulingClass;
import org.hibiscususher.standin.virtual.ProcessState;
import org.hibiscususher.standin.virtual.VirtualEntry;
import org.hibiscususher.standin.virtual.VirtualRequest;
import org.hibiscususher.standin.virtual.VirtualSite;
import org.hibiscususher.standin.virtual.VirtualTarget;
import org.hibiscususher.wire.yaml.NoteReader;

/** Runs a workload in virtual time through the real control code of nine entries. */
final class EntrySimulation {
    private static final int SETTLE_MS = 3_000;
    private static final int NETWORK_LATENCY_MS = 1;

    private final BenchSite mBenchSite;
    private final Scenario mScenario;
    private final List<Customer> mCustomers;
    private final BenchMetrics mMetrics;
    private final VirtualSite mSite;
    private final List<VirtualRequest> mQuickRequests = new ArrayList<>();

    EntrySimulation(
            BenchSite site,
            Scenario scenario,
            EscrowPolicy policy,
            long seed,
            BenchMetrics metrics) {
        mBenchSite = site;
        mScenario = scenario;
        mCustomers = scenario.customers();
        mMetrics = metrics;
        mSite = VirtualSite.create(seed, ControlSettings.DEFAULT.withEscrowPolicy(policy));
    }

    /**
     * Runs the workload in steps of one millisecond.
     *
     * @param arrivals requests in order of arrival
     * @return messages sent between entries, those of the start not counted
     */
    long run(List<Arrival> arrivals) {
        startSite();
        mSite.network()
                .setLinkBehaviour(NETWORK_LATENCY_MS, mScenario.jitterMs(), mScenario.loss(), 0);
        long messagesBefore = mSite.network().messageCount();
        int next = 0;
        for (int ms = 0; ms < Scenario.DURATION_MS; ms++) {
            if (mScenario.killsAllocator() && ms == Scenario.DURATION_MS / 2) {
                mSite.kill(allocator());
            }
            for (; next < arrivals.size() && arrivals.get(next).atMs() == ms; next++) {
                send(arrivals.get(next));
            }
            mSite.run(1);
            sample();
        }
        mQuickRequests.forEach(this::recordWait);
        return mSite.network().messageCount() - messagesBefore;
    }

    private void startSite() {
        for (int i = 0; i < BenchSite.ENTRIES; i++) {
            mSite.start("e" + i, mBenchSite.zone(i));
        }
        mSite.run(SETTLE_MS);
        mSite.submitNote("e0", NoteReader.read("bench", mBenchSite.note(mCustomers)).note());
        mSite.run(SETTLE_MS);
    }

    /** Returns the allocator of pool 2, whose burst lasts while the entry is killed. */
    private String allocator() {
        PermitGroup group = PermitGroup.pool("p2");
        return mSite.entries().values().stream()
                .filter(e -> e.world().allocatorTerms().contains(group))
                .findFirst()
                .orElseThrow()
                .id();
    }

    /** Sends a request to its entry, or to the next one that is alive. */
    private void send(Arrival arrival) {
        String team = mCustomers.get(arrival.customer()).team();
        String queue = (arrival.kind() == QueueKind.QUICK ? "quick" : "long") + arrival.pool();
        int entry = arrival.entry();
        while (mSite.entries().get("e" + entry).processState() == ProcessState.DEAD) {
            entry = (entry + 1) % BenchSite.ENTRIES;
        }
        VirtualRequest request = mSite.sendRequest("e" + entry, queue, team, arrival.runMs());
        if (arrival.kind() == QueueKind.QUICK) {
            mQuickRequests.add(request);
        }
    }

    /**
     * Records the wait without the latency of the network. A refused request counts as one that
     * waited to its limit; one that still waits at the end isn't counted.
     */
    private void recordWait(VirtualRequest request) {
        if (request.startedMs() >= 0) {
            mMetrics.recordQuickWait(
                    request.startedMs() - request.arrivedMs() - NETWORK_LATENCY_MS);
        } else if (request.refusal().isPresent()) {
            mMetrics.recordQuickWait(BenchSite.QUICK_WAIT_LIMIT_MS);
        }
    }

    private void sample() {
        int[][] waiting = new int[mBenchSite.pools()][mCustomers.size()];
        int[][] running = new int[mBenchSite.pools()][mCustomers.size()];
        for (VirtualEntry entry : mSite.entries().values()) {
            if (entry.processState() == ProcessState.DEAD) {
                continue;
            }
            for (SchedulingClass group : entry.world().requests().groups()) {
                int pool = Integer.parseInt(group.pool().substring(1));
                int customer = Integer.parseInt(group.team().substring(1));
                int count = entry.world().requests().group(group).size();
                (group.state().placeable() ? waiting : running)[pool][customer] += count;
            }
        }
        mMetrics.sample(waiting, running);
        checkLimits();
    }

    private void checkLimits() {
        boolean violated = false;
        for (VirtualTarget target : mSite.targets().values()) {
            violated |= target.runningRequests() > BenchSite.SLOTS_PER_HOST;
        }
        for (Customer customer : mCustomers) {
            int running = 0;
            for (VirtualTarget target : mSite.targets().values()) {
                running += target.runningRequests(customer.team());
            }
            violated |= running > customer.upperLimit();
        }
        if (violated) {
            mMetrics.recordViolation();
        }
    }
}
