package org.hibiscususher.standin.bench;

import java.util.List;

/**
 * A customer of the workload, which is a team of the configuration.
 *
 * @param team name of the team
 * @param share its weight when customers compete for slots
 * @param upperLimit most requests that it may have running in the whole site
 * @param demandWeight its part of all requests, relative to the other customers'
 */
record Customer(String team, int share, int upperLimit, int demandWeight) {
    /** More than the slots of any site. */
    private static final int NO_LIMIT = 1_000;

    private static final int TIGHT_LIMIT = 20;

    /**
     * Returns six customers: two large ones, and {@code t3}, whose demand far exceeds its share.
     *
     * @param tightLimits whether their upper limits are low enough to bind
     */
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
