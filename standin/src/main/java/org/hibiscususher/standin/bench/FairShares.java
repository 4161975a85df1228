package org.hibiscususher.standin.bench;

/**
 * Reference computation of weighted max-min fairness.
 *
 * <p>It shares no code with the measured system, so that a fault in the allocator shows in the
 * results instead of changing the reference as well.
 */
final class FairShares {
    private static final int BISECTION_STEPS = 50;

    private FairShares() {}

    /**
     * Returns how much of the capacity each customer is entitled to.
     *
     * <p>Searches by bisection for the level, an amount per unit of share, at which the capacity is
     * used up. A customer gets its level times its share, but no more than its demand.
     *
     * @param demands demand of each customer, in the unit of the capacity
     * @param shares weight of each customer, above 0
     * @param capacity amount to divide
     */
    static double[] of(double[] demands, double[] shares, double capacity) {
        double low = 0;
        double high = 1;
        for (int i = 0; i < demands.length; i++) {
            high = Math.max(high, demands[i] / shares[i]);
        }
        if (sum(entitlements(demands, shares, high)) <= capacity) {
            return entitlements(demands, shares, high);
        }
        for (int step = 0; step < BISECTION_STEPS; step++) {
            double level = (low + high) / 2;
            if (sum(entitlements(demands, shares, level)) > capacity) {
                high = level;
            } else {
                low = level;
            }
        }
        return entitlements(demands, shares, low);
    }

    private static double[] entitlements(double[] demands, double[] shares, double level) {
        double[] entitlements = new double[demands.length];
        for (int i = 0; i < entitlements.length; i++) {
            entitlements[i] = Math.min(demands[i], level * shares[i]);
        }
        return entitlements;
    }

    private static double sum(double[] values) {
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        return sum;
    }
}
