package org.hibiscususher.standin.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.hibiscususher.core.config.QueueKind;

/**
 * A simulated scheduler that sees all requests and all slots of a site without delay.
 *
 * <p>It is the reference to compare the distributed allocation with, and shares no code with it.
 */
final class CentralScheduler {
    /** Prefers quick requests among customers with the same use per share. */
    private static final double LONG_PENALTY = 1e-6;

    private final BenchSite mSite;
    private final List<Customer> mCustomers;
    private final boolean mFifo;
    private final BenchMetrics mMetrics;

    /** Waiting requests, a queue for each pool, customer and kind; see {@link #queue}. */
    private final List<Deque<Arrival>> mWaiting = new ArrayList<>();

    private final int[][] mWaitingCount;
    private final int[][] mRunningCount;
    private final int[] mLongRunningCount;

    /** Requests that finish at each millisecond from the start of the run. */
    private final List<List<Arrival>> mFinishingAtMs = new ArrayList<>();

    /**
     * Creates a scheduler without requests.
     *
     * @param fifo whether requests start in order of arrival, regardless of shares and of the slots
     *     reserved for quick requests
     * @param metrics gets a sample every millisecond and the waits of quick requests
     */
    CentralScheduler(BenchSite site, List<Customer> customers, boolean fifo, BenchMetrics metrics) {
        mSite = site;
        mCustomers = customers;
        mFifo = fifo;
        mMetrics = metrics;
        mWaitingCount = new int[site.pools()][customers.size()];
        mRunningCount = new int[site.pools()][customers.size()];
        mLongRunningCount = new int[site.pools()];
        for (int i = 0; i < site.pools() * customers.size() * 2; i++) {
            mWaiting.add(new ArrayDeque<>());
        }
        for (int ms = 0; ms < Scenario.DURATION_MS + 2 * BenchSite.RUN_LIMIT_MS; ms++) {
            mFinishingAtMs.add(new ArrayList<>());
        }
    }

    /**
     * Simulates the scenario in steps of one millisecond.
     *
     * @param arrivals requests in order of arrival
     */
    void run(List<Arrival> arrivals) {
        int next = 0;
        for (int ms = 0; ms < Scenario.DURATION_MS; ms++) {
            mFinishingAtMs.get(ms).forEach(this::finish);
            for (; next < arrivals.size() && arrivals.get(next).atMs() == ms; next++) {
                Arrival arrival = arrivals.get(next);
                queue(arrival.pool(), arrival.customer(), arrival.kind()).add(arrival);
                mWaitingCount[arrival.pool()][arrival.customer()]++;
            }
            for (int pool = 0; pool < mSite.pools(); pool++) {
                refuseExpired(pool, ms);
                boolean started = true;
                while (started) {
                    started = startNext(pool, ms);
                }
            }
            mMetrics.sample(mWaitingCount, mRunningCount);
        }
    }

    private Deque<Arrival> queue(int pool, int customer, QueueKind kind) {
        return mWaiting.get((pool * mCustomers.size() + customer) * 2 + kind.ordinal());
    }

    private void finish(Arrival arrival) {
        mRunningCount[arrival.pool()][arrival.customer()]--;
        mLongRunningCount[arrival.pool()] -= arrival.kind() == QueueKind.LONG ? 1 : 0;
    }

    /** Refuses quick requests at their wait limit; that of long requests exceeds the run. */
    private void refuseExpired(int pool, int ms) {
        for (int c = 0; c < mCustomers.size(); c++) {
            Deque<Arrival> queue = queue(pool, c, QueueKind.QUICK);
            while (!queue.isEmpty() && ms - queue.peek().atMs() >= BenchSite.QUICK_WAIT_LIMIT_MS) {
                queue.poll();
                mWaitingCount[pool][c]--;
                mMetrics.recordQuickWait(BenchSite.QUICK_WAIT_LIMIT_MS);
            }
        }
    }

    /** Starts the request of lowest rank; returns whether one was started. */
    private boolean startNext(int pool, int ms) {
        int running = 0;
        for (int count : mRunningCount[pool]) {
            running += count;
        }
        if (running >= mSite.slots(pool)) {
            return false;
        }
        Deque<Arrival> best = null;
        double bestRank = Double.MAX_VALUE;
        for (int c = 0; c < mCustomers.size(); c++) {
            for (QueueKind kind : QueueKind.values()) {
                Deque<Arrival> queue = queue(pool, c, kind);
                if (!queue.isEmpty()
                        && mayStart(pool, c, kind)
                        && rank(queue, pool, c) < bestRank) {
                    best = queue;
                    bestRank = rank(queue, pool, c);
                }
            }
        }
        if (best == null) {
            return false;
        }
        start(best.poll(), ms);
        return true;
    }

    private boolean mayStart(int pool, int customer, QueueKind kind) {
        int runningInSite = 0;
        for (int[] running : mRunningCount) {
            runningInSite += running[customer];
        }
        int longSlots = mSite.slots(pool) - mSite.quickReserve(pool);
        return runningInSite < mCustomers.get(customer).upperLimit()
                && (mFifo || kind == QueueKind.QUICK || mLongRunningCount[pool] < longSlots);
    }

    /** Returns the rank of a queue's oldest request; the lowest in the pool starts first. */
    private double rank(Deque<Arrival> queue, int pool, int customer) {
        if (mFifo) {
            return queue.peek().atMs();
        }
        double share = mCustomers.get(customer).share();
        return mRunningCount[pool][customer] / share + queue.peek().kind().ordinal() * LONG_PENALTY;
    }

    private void start(Arrival arrival, int ms) {
        mWaitingCount[arrival.pool()][arrival.customer()]--;
        mRunningCount[arrival.pool()][arrival.customer()]++;
        mLongRunningCount[arrival.pool()] += arrival.kind() == QueueKind.LONG ? 1 : 0;
        mFinishingAtMs.get(ms + arrival.runMs()).add(arrival);
        if (arrival.kind() == QueueKind.QUICK) {
            mMetrics.recordQuickWait(ms - arrival.atMs());
        }
    }
}
