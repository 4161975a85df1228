package org.hibiscususher.standin.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.hibiscususher.core.config.QueueKind;

/** One queue that sees all work and all slots of a site without delay; no part of the system. */
final class IdealQueue {
    private final BenchSite mSite;
    private final List<Customer> mCustomers;
    private final boolean mFirstCome;
    private final Meter mMeter;
    private final List<Deque<Arrival>> mWaiting = new ArrayList<>();
    private final int[][] mWaitingCount;
    private final int[][] mRunning;
    private final int[] mLongRunning;
    private final List<List<Arrival>> mEnds = new ArrayList<>();

    /**
     * Creates an empty queue.
     *
     * @param firstCome whether requests start in order of arrival, without regard to shares and
     *     kinds
     */
    IdealQueue(BenchSite site, List<Customer> customers, boolean firstCome, Meter meter) {
        mSite = site;
        mCustomers = customers;
        mFirstCome = firstCome;
        mMeter = meter;
        mWaitingCount = new int[site.pools()][customers.size()];
        mRunning = new int[site.pools()][customers.size()];
        mLongRunning = new int[site.pools()];
        for (int i = 0; i < site.pools() * customers.size() * 2; i++) {
            mWaiting.add(new ArrayDeque<>());
        }
        for (int ms = 0; ms < Scenario.DURATION_MS + 2 * BenchSite.RUN_LIMIT_MS; ms++) {
            mEnds.add(new ArrayList<>());
        }
    }

    void run(List<Arrival> arrivals) {
        int next = 0;
        for (int ms = 0; ms < Scenario.DURATION_MS; ms++) {
            mEnds.get(ms).forEach(this::end);
            for (; next < arrivals.size() && arrivals.get(next).atMs() == ms; next++) {
                Arrival arrival = arrivals.get(next);
                lane(arrival.pool(), arrival.customer(), arrival.kind()).add(arrival);
                mWaitingCount[arrival.pool()][arrival.customer()]++;
            }
            for (int pool = 0; pool < mSite.pools(); pool++) {
                refuseLate(pool, ms);
                boolean started = true;
                while (started) {
                    started = startNext(pool, ms);
                }
            }
            mMeter.sample(mWaitingCount, mRunning);
        }
    }

    private Deque<Arrival> lane(int pool, int customer, QueueKind kind) {
        return mWaiting.get((pool * mCustomers.size() + customer) * 2 + kind.ordinal());
    }

    private void end(Arrival arrival) {
        mRunning[arrival.pool()][arrival.customer()]--;
        mLongRunning[arrival.pool()] -= arrival.kind() == QueueKind.LONG ? 1 : 0;
    }

    private void refuseLate(int pool, int ms) {
        for (int c = 0; c < mCustomers.size(); c++) {
            Deque<Arrival> lane = lane(pool, c, QueueKind.QUICK);
            while (!lane.isEmpty() && ms - lane.peek().atMs() >= BenchSite.WAIT_LIMIT_MS) {
                lane.poll();
                mWaitingCount[pool][c]--;
                mMeter.quickWaited(BenchSite.WAIT_LIMIT_MS);
            }
        }
    }

    private boolean startNext(int pool, int ms) {
        int running = 0;
        for (int count : mRunning[pool]) {
            running += count;
        }
        if (running >= mSite.slots(pool)) {
            return false;
        }
        Deque<Arrival> best = null;
        double bestRank = Double.MAX_VALUE;
        for (int c = 0; c < mCustomers.size(); c++) {
            for (QueueKind kind : QueueKind.values()) {
                Deque<Arrival> lane = lane(pool, c, kind);
                if (!lane.isEmpty() && open(pool, c, kind) && rank(lane, pool, c) < bestRank) {
                    best = lane;
                    bestRank = rank(lane, pool, c);
                }
            }
        }
        if (best == null) {
            return false;
        }
        start(best.poll(), ms);
        return true;
    }

    private boolean open(int pool, int customer, QueueKind kind) {
        int everywhere = 0;
        for (int[] running : mRunning) {
            everywhere += running[customer];
        }
        int longOpen = mSite.slots(pool) - mSite.quickReserve(pool);
        return everywhere < mCustomers.get(customer).upperLimit()
                && (mFirstCome || kind == QueueKind.QUICK || mLongRunning[pool] < longOpen);
    }

    private double rank(Deque<Arrival> lane, int pool, int customer) {
        if (mFirstCome) {
            return lane.peek().atMs();
        }
        double share = mCustomers.get(customer).share();
        return mRunning[pool][customer] / share + lane.peek().kind().ordinal() * 1e-6;
    }

    private void start(Arrival arrival, int ms) {
        mWaitingCount[arrival.pool()][arrival.customer()]--;
        mRunning[arrival.pool()][arrival.customer()]++;
        mLongRunning[arrival.pool()] += arrival.kind() == QueueKind.LONG ? 1 : 0;
        mEnds.get(ms + arrival.runMs()).add(arrival);
        if (arrival.kind() == QueueKind.QUICK) {
            mMeter.quickWaited(ms - arrival.atMs());
        }
    }
}
