package org.hibiscususher.standin.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.hibiscususher.core.config.QueueKind;

/** What the callers do and what goes wrong. */
enum Scenario {
    /** Bursts of five times the mean on each queue in turn; callers on every entry. */
    BURSTS(false, false, false, 0, 0, false),
    /** The same, with each team's callers on two entries. */
    BURSTS_TWO_ENTRIES(false, true, false, 0, 0, false),
    /** The same as {@link #BURSTS}, with upper limits that bind. */
    BURSTS_TIGHT_LIMITS(false, false, true, 0, 0, false),
    /** The same, with a twentieth of the messages lost and up to 5 ms of jitter. */
    BURSTS_LOSS(false, false, false, 0.05, 5, false),
    /** The same, with an allocating entry killed in the middle. */
    BURSTS_KILL(false, false, false, 0, 0, true),
    /** Long runs that fill every pool, and quick look-ups between them. */
    LONG_FILL(true, false, false, 0, 0, false),
    /** The same, with each team's callers on two entries. */
    LONG_FILL_TWO_ENTRIES(true, true, false, 0, 0, false);

    static final int DURATION_MS = 20_000;
    static final int QUICK_MS = 50;
    private static final int BURST_MS = 4_000;
    private static final int LONG_MS = 2_000;
    private static final double MEAN_LOAD = 0.3;
    private static final double BURST = 5;
    private static final double BETWEEN = 0.05;
    private static final double QUICK_LOAD_OF_RESERVE = 0.4;
    private static final double LONG_LOAD = 1.3;

    private final boolean mLongFill;
    private final boolean mTwoEntries;
    private final boolean mTightLimits;
    private final double mLoss;
    private final int mJitterMs;
    private final boolean mKill;

    Scenario(
            boolean longFill,
            boolean twoEntries,
            boolean tightLimits,
            double loss,
            int jitterMs,
            boolean kill) {
        mLongFill = longFill;
        mTwoEntries = twoEntries;
        mTightLimits = tightLimits;
        mLoss = loss;
        mJitterMs = jitterMs;
        mKill = kill;
    }

    List<Customer> customers() {
        return Customer.six(mTightLimits);
    }

    double loss() {
        return mLoss;
    }

    int jitterMs() {
        return mJitterMs;
    }

    boolean kills() {
        return mKill;
    }

    /** Returns the requests in order of arrival, the same for the same seed. */
    List<Arrival> arrivals(BenchSite site, long seed) {
        Random random = new Random(seed);
        List<Arrival> arrivals = new ArrayList<>();
        for (int ms = 0; ms < DURATION_MS; ms++) {
            for (int pool = 0; pool < site.pools(); pool++) {
                int quick = poisson(random, quickPerMs(site, pool, ms));
                for (int i = 0; i < quick; i++) {
                    arrivals.add(arrival(random, ms, pool, QueueKind.QUICK));
                }
                int longRuns = poisson(random, longPerMs(site, pool));
                for (int i = 0; i < longRuns; i++) {
                    arrivals.add(arrival(random, ms, pool, QueueKind.LONG));
                }
            }
        }
        return arrivals;
    }

    private double quickPerMs(BenchSite site, int pool, int ms) {
        if (mLongFill) {
            return site.quickReserve(pool) * QUICK_LOAD_OF_RESERVE / QUICK_MS;
        }
        boolean bursts = ms / BURST_MS % site.pools() == pool;
        return site.slots(pool) * MEAN_LOAD * (bursts ? BURST : BETWEEN) / QUICK_MS;
    }

    private double longPerMs(BenchSite site, int pool) {
        return mLongFill ? site.slots(pool) * LONG_LOAD / LONG_MS : 0;
    }

    private Arrival arrival(Random random, int ms, int pool, QueueKind kind) {
        int customer = customer(random);
        int entry =
                mTwoEntries
                        ? (customer * 2 + random.nextInt(2)) % BenchSite.ENTRIES
                        : random.nextInt(BenchSite.ENTRIES);
        int mean = kind == QueueKind.QUICK ? QUICK_MS : LONG_MS;
        int runMs = mean / 2 + random.nextInt(mean);
        return new Arrival(ms, pool, customer, kind, runMs, entry);
    }

    private int customer(Random random) {
        List<Customer> customers = customers();
        int dice = random.nextInt(customers.stream().mapToInt(Customer::part).sum());
        int customer = 0;
        while (dice >= customers.get(customer).part()) {
            dice -= customers.get(customer).part();
            customer++;
        }
        return customer;
    }

    private static int poisson(Random random, double mean) {
        double limit = Math.exp(-mean);
        double product = random.nextDouble();
        int count = 0;
        while (product > limit) {
            product *= random.nextDouble();
            count++;
        }
        return count;
    }
}
