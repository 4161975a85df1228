package org.hibiscususher.standin.bench;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.HdrHistogram.Histogram;

/** Measures one contender in one scenario, millisecond by millisecond. */
final class Meter {
    private static final int WINDOW_MS = 1_000;
    private static final double FULL_PART = 0.95;

    private final BenchSite mSite;
    private final List<Customer> mCustomers;
    private final double[][] mGot;
    private final double[][] mDue;
    private final int[] mFullMs;
    private final List<Double> mNearness = new ArrayList<>();
    private final Histogram mQuickWaits = new Histogram(3);
    private int mSamples;
    private double mStranded;
    private double mContended;
    private long mViolations;

    Meter(BenchSite site, List<Customer> customers) {
        mSite = site;
        mCustomers = customers;
        mGot = new double[site.pools()][customers.size()];
        mDue = new double[site.pools()][customers.size()];
        mFullMs = new int[site.pools()];
    }

    /**
     * Takes one sample of every pool.
     *
     * @param waiting requests waiting, by pool and customer
     * @param running requests running, by pool and customer
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

    private void sample(int pool, int[] waiting, int[] running, int[][] everywhere) {
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
            int left = customer.upperLimit() - runningOf(c, everywhere);
            startable += Math.max(0, Math.min(waiting[c], left));
            idle -= running[c];
        }
        if (startable > 0) {
            mStranded += Math.max(0, Math.min(idle, startable));
            mContended += slots;
        }
        mFullMs[pool] += demand >= slots ? 1 : 0;
        double[] dues = FairShares.of(demands, shares, slots);
        for (int c = 0; c < waiting.length; c++) {
            mGot[pool][c] += running[c];
            mDue[pool][c] += dues[c];
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
                if (mFullMs[pool] >= FULL_PART * WINDOW_MS && mDue[pool][c] > 0) {
                    mNearness.add(Math.min(1, mGot[pool][c] / mDue[pool][c]));
                }
                mGot[pool][c] = 0;
                mDue[pool][c] = 0;
            }
            mFullMs[pool] = 0;
        }
    }

    void quickWaited(long ms) {
        mQuickWaits.recordValue(Math.max(0, ms));
    }

    void violated() {
        mViolations++;
    }

    Figures figures() {
        List<Double> sorted = new ArrayList<>(mNearness);
        Collections.sort(sorted);
        return new Figures(
                quantile(sorted, 0.5),
                quantile(sorted, 0.05),
                sorted.size(),
                mQuickWaits.getValueAtPercentile(50),
                mQuickWaits.getValueAtPercentile(99),
                mQuickWaits.getValueAtPercentile(99.9),
                mContended == 0 ? 0 : mStranded / mContended,
                mViolations);
    }

    private static double quantile(List<Double> sorted, double part) {
        return sorted.isEmpty() ? Double.NaN : sorted.get((int) (part * (sorted.size() - 1)));
    }
}
