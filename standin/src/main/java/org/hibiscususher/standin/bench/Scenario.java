package org.hibiscususher.standin.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.hibiscususher.core.config.QueueKind;

/** Workloads of the callers, and the faults meanwhile. The names are written to the results. */
enum Scenario {
    /** Quick requests: bursts of five times the mean on each pool in turn, sent to all entries. */
    BURSTS(false, false, false, 0, 0, false),
    /** As {@link #BURSTS}, but each customer sends to two entries only. */
    BURSTS_TWO_ENTRIES(false, true, false, 0, 0, false),
    /** As {@link #BURSTS}, with upper limits of the customers low enough to bind. */
    BURSTS_TIGHT_LIMITS(false, false, true, 0, 0, false),
    /** As {@link #BURSTS}, with 5% of the messages lost and up to 5 ms of jitter. */
    BURSTS_LOSS(false, false, false, 0.05, 5, false),
    /** As {@link #BURSTS}, with the allocator of a pool killed halfway, in the pool's burst. */
    BURSTS_KILL(false, false, false, 0, 0, true),
    /** Long requests beyond the capacity of every pool, and quick ones within the reserve. */
    LONG_FILL(true, false, false, 0, 0, false),
    /** As {@link #LONG_FILL}, but each customer sends to two entries only. */
    LONG_FILL_TWO_ENTRIES(true, true, false, 0, 0, false);

    static final int DURATION_MS = 20_000;

    /** Mean run time of quick requests. */
    static final int QUICK_MS = 50;

    /** How long the burst of one pool lasts before that of the next begins. */
    private static final int BURST_MS = 4_000;

    /** Mean run time of long requests. */
    private static final int LONG_MS = 2_000;

    /** Mean load of a pool by quick requests, as a fraction of its slots. */
    private static final double MEAN_LOAD = 0.3;

    /** Load of a pool in its burst, relative to the mean. */
    private static final double BURST_FACTOR = 5;

    /** Load of a pool outside its burst, relative to the mean. */
    private static final double IDLE_FACTOR = 0.05;

    /** Load by quick requests beside long ones, as a fraction of the quick reserve. */
    private static final double QUICK_LOAD_OF_RESERVE = 0.4;

    /** Load of a pool by long requests, as a fraction of its slots. */
    private static final double LONG_LOAD = 1.3;

    private final boolean mLongFill;
    private final boolean mTwoEntries;
    private final boolean mTightLimits;
    private final double mLoss;
    private final int mJitterMs;
    private final boolean mKillsAllocator;

    Scenario(
            boolean longFill,
            boolean twoEntries,
            boolean tightLimits,
            double loss,
            int jitterMs,
            boolean killsAllocator) {
        mLongFill = longFill;
        mTwoEntries = twoEntries;
        mTightLimits = tightLimits;
        mLoss = loss;
        mJitterMs = jitterMs;
        mKillsAllocator = killsAllocator;
    }

    List<Customer> customers() {
        return Customer.six(mTightLimits);
    }

    /** Returns the probability, 0 to 1, that a message between entries is lost. */
    double loss() {
        return mLoss;
    }

    /** Returns the greatest extra delay of a message between entries, in milliseconds. */
    int jitterMs() {
        return mJitterMs;
    }

    /** Returns whether an allocator is killed halfway. */
    boolean killsAllocator() {
        return mKillsAllocator;
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
        boolean inBurst = ms / BURST_MS % site.pools() == pool;
        return site.slots(pool) * MEAN_LOAD * (inBurst ? BURST_FACTOR : IDLE_FACTOR) / QUICK_MS;
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

    /** Returns a random customer, by demand. */
    private int customer(Random random) {
        List<Customer> customers = customers();
        int draw = random.nextInt(customers.stream().mapToInt(Customer::demandWeight).sum());
        int customer = 0;
        while (draw >= customers.get(customer).demandWeight()) {
            draw -= customers.get(customer).demandWeight();
            customer++;
        }
        return customer;
    }

    /** Returns a Poisson-distributed number by Knuth's method, for small means. */
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
