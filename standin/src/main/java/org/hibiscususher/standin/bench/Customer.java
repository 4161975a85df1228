package org.hibiscususher.standin.bench;

import java.util.List;

/**
 * A team of the experiment.
 *
 * @param team its name
 * @param share its share
 * @param upperLimit most that it may have running
 * @param part its part of all demand, relative to the others'
 */
record Customer(String team, int share, int upperLimit, int part) {
    private static final int NO_LIMIT = 1_000;
    private static final int TIGHT_LIMIT = 20;

    /** Returns six customers, two of them large and one that asks for far more than its share. */
    static List<Customer> six(boolean tightLimits) {
        int limit = tightLimits ? TIGHT_LIMIT : NO_LIMIT;
        return List.of(
                new Customer("t0", 4, limit, 8),
                new Customer("t1", 4, limit, 5),
                new Customer("t2", 2, limit, 3),
                new Customer("t3", 1, limit, 4),
                new Customer("t4", 1, limit, 1),
                new Customer("t5", 1, limit, 1));
    }
}
