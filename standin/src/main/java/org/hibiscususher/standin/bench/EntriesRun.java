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

/** Runs the arrivals of a scenario through real control nodes. */
final class EntriesRun {
    private static final int SETTLE_MS = 3_000;
    private static final int LATENCY_MS = 1;

    private final BenchSite mBenchSite;
    private final Scenario mScenario;
    private final List<Customer> mCustomers;
    private final Meter mMeter;
    private final VirtualSite mSite;
    private final List<VirtualRequest> mQuick = new ArrayList<>();

    EntriesRun(BenchSite site, Scenario scenario, EscrowPolicy policy, long seed, Meter meter) {
        mBenchSite = site;
        mScenario = scenario;
        mCustomers = scenario.customers();
        mMeter = meter;
        mSite = VirtualSite.create(seed, ControlSettings.DEFAULT.withEscrowPolicy(policy));
    }

    /** Returns the messages that were sent between entries while the arrivals came. */
    long run(List<Arrival> arrivals) {
        open();
        mSite.network().setLinkBehaviour(LATENCY_MS, mScenario.jitterMs(), mScenario.loss(), 0);
        long before = mSite.network().messageCount();
        int next = 0;
        for (int ms = 0; ms < Scenario.DURATION_MS; ms++) {
            if (mScenario.kills() && ms == Scenario.DURATION_MS / 2) {
                mSite.kill(allocator());
            }
            for (; next < arrivals.size() && arrivals.get(next).atMs() == ms; next++) {
                call(arrivals.get(next));
            }
            mSite.run(1);
            sample();
        }
        mQuick.forEach(this::recordWait);
        return mSite.network().messageCount() - before;
    }

    private void open() {
        for (int i = 0; i < BenchSite.ENTRIES; i++) {
            mSite.start("e" + i, mBenchSite.zone(i));
        }
        mSite.run(SETTLE_MS);
        mSite.submitNote("e0", NoteReader.read("bench", mBenchSite.note(mCustomers)).note());
        mSite.run(SETTLE_MS);
    }

    /** Returns the entry that allocates the pool which is in its burst. */
    private String allocator() {
        PermitGroup group = PermitGroup.pool("p2");
        return mSite.entries().values().stream()
                .filter(e -> e.world().allocatorTerms().contains(group))
                .findFirst()
                .orElseThrow()
                .id();
    }

    private void call(Arrival arrival) {
        String team = mCustomers.get(arrival.customer()).team();
        String queue = (arrival.kind() == QueueKind.QUICK ? "quick" : "long") + arrival.pool();
        int entry = arrival.entry();
        while (mSite.entries().get("e" + entry).processState() == ProcessState.DEAD) {
            entry = (entry + 1) % BenchSite.ENTRIES;
        }
        VirtualRequest request = mSite.sendRequest("e" + entry, queue, team, arrival.runMs());
        if (arrival.kind() == QueueKind.QUICK) {
            mQuick.add(request);
        }
    }

    private void recordWait(VirtualRequest request) {
        if (request.startedMs() >= 0) {
            mMeter.quickWaited(request.startedMs() - request.arrivedMs() - LATENCY_MS);
        } else if (request.refusal().isPresent()) {
            mMeter.quickWaited(BenchSite.WAIT_LIMIT_MS);
        }
    }

    private void sample() {
        int[][] waiting = new int[mBenchSite.pools()][mCustomers.size()];
        int[][] running = new int[mBenchSite.pools()][mCustomers.size()];
        for (VirtualEntry entry : mSite.entries().values()) {
            if (entry.processState() == ProcessState.DEAD) {
                continue;
            }
            for (SchedulingClass lane : entry.world().requests().groups()) {
                int pool = Integer.parseInt(lane.pool().substring(1));
                int customer = Integer.parseInt(lane.team().substring(1));
                int count = entry.world().requests().group(lane).size();
                (lane.state().placeable() ? waiting : running)[pool][customer] += count;
            }
        }
        mMeter.sample(waiting, running);
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
            mMeter.violated();
        }
    }
}
