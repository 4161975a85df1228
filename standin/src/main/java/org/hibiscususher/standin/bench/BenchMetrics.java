package org.hibiscususher.standin.bench;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.HdrHistogram.Histogram;

/** Collects the figures of one allocation method in one scenario, from a sample per millisecond. */
final class BenchMetrics {
    private static final int WINDOW_MS = 1_000;
    private static final int SIGNIFICANT_DIGITS = 3;

    /**
     * Fraction of a window's samples in which demand must fill the pool for the window to count:
     * with free slots every customer gets all that it asks for, which says nothing of fairness.
     */
    private static final double SATURATED_FRACTION = 0.95;

    private final BenchSite mSite;
    private final List<Customer> mCustomers;

    /** Slot time used in the current window, by pool and customer. */
    private final double[][] mUsedSlotMs;

    /** Slot time of the fair shares in the current window, by pool and customer. */
    private final double[][] mEntitledSlotMs;

    /** Samples of the current window in which demand filled the pool, by pool. */
    private final int[] mSaturatedMs;

    private final List<Double> mAttainment = new ArrayList<>();
    private final Histogram mQuickWaits = new Histogram(SIGNIFICANT_DIGITS);
    private int mSamples;

    /** Slot time that was idle although a waiting request could have used it. */
    private double mStrandedSlotMs;

    /** Slot time of pools while a request waited that its customer's limit allowed to start. */
    private double mContendedSlotMs;

    private long mViolations;

    BenchMetrics(BenchSite site, List<Customer> customers) {
        mSite = site;
        mCustomers = customers;
        mUsedSlotMs = new double[site.pools()][customers.size()];
        mEntitledSlotMs = new double[site.pools()][customers.size()];
        mSaturatedMs = new int[site.pools()];
    }

    /**
     * Records one sample of every pool; called once per simulated millisecond.
     *
     * @param waiting number of waiting requests, by pool and customer
     * @param running number of running requests, by pool and customer
     */
    void sample(int[][] waiting, int[][] running) {
        for (int pool = 0; pool < mSite.pools(); pool++) {
            sample(pool, waiting[pool], running[pool], running);
        }
        mSamples++;
        if (mSamples % WINDOW_MS == 0) {
            closeWindow();
        }
    }

    private void sample(int pool, int[] waiting, int[] running, int[][] runningInSite) {
        int slots = mSite.slots(pool);
        double[] demands = new double[waiting.length];
        double[] shares = new double[waiting.length];
        double demand = 0;
        int startable = 0;
        int idle = slots;
        for (int c = 0; c < waiting.length; c++) {
            Customer customer = mCustomers.get(c);
            demands[c] = Math.min(waiting[c] + running[c], customer.upperLimit());
            shares[c] = customer.share();
            demand += demands[c];
            int belowLimit = customer.upperLimit() - runningOf(c, runningInSite);
            startable += Math.max(0, Math.min(waiting[c], belowLimit));
            idle -= running[c];
        }
        if (startable > 0) {
            mStrandedSlotMs += Math.max(0, Math.min(idle, startable));
            mContendedSlotMs += slots;
        }
        mSaturatedMs[pool] += demand >= slots ? 1 : 0;
        double[] entitlements = FairShares.of(demands, shares, slots);
        for (int c = 0; c < waiting.length; c++) {
            mUsedSlotMs[pool][c] += running[c];
            mEntitledSlotMs[pool][c] += entitlements[c];
        }
    }

    private static int runningOf(int customer, int[][] running) {
        int sum = 0;
        for (int[] pool : running) {
            sum += pool[customer];
        }
        return sum;
    }

    private void closeWindow() {
        for (int pool = 0; pool < mSite.pools(); pool++) {
            for (int c = 0; c < mCustomers.size(); c++) {
                if (mSaturatedMs[pool] >= SATURATED_FRACTION * WINDOW_MS
                        && mEntitledSlotMs[pool][c] > 0) {
                    mAttainment.add(Math.min(1, mUsedSlotMs[pool][c] / mEntitledSlotMs[pool][c]));
                }
                mUsedSlotMs[pool][c] = 0;
                mEntitledSlotMs[pool][c] = 0;
            }
            mSaturatedMs[pool] = 0;
        }
    }

    /** Records the wait of a quick request; for a refused one that is the wait limit. */
    void recordQuickWait(long ms) {
        mQuickWaits.recordValue(Math.max(0, ms));
    }

    /** Records a millisecond in which a customer or host was above its limit. */
    void recordViolation() {
        mViolations++;
    }

    /** Returns the figures of all samples so far; an unfinished window is left out. */
    BenchResult result() {
        List<Double> sorted = new ArrayList<>(mAttainment);
        Collections.sort(sorted);
        return new BenchResult(
                quantile(sorted, 0.5),
                quantile(sorted, 0.05),
                sorted.size(),
                mQuickWaits.getValueAtPercentile(50),
                mQuickWaits.getValueAtPercentile(99),
                mQuickWaits.getValueAtPercentile(99.9),
                mContendedSlotMs == 0 ? 0 : mStrandedSlotMs / mContendedSlotMs,
                mViolations);
    }

    private static double quantile(List<Double> sorted, double fraction) {
        return sorted.isEmpty() ? Double.NaN : sorted.get((int) (fraction * (sorted.size() - 1)));
    }
}
