package org.hibiscususher.standin.bench;

/** Weighted max-min fairness, worked out apart from the system that is measured. */
final class FairShares {
    private static final int STEPS = 50;

    private FairShares() {}

    /** Returns each party's due, by bisection on the level at which the capacity is used up. */
    static double[] of(double[] demands, double[] shares, double capacity) {
        double low = 0;
        double high = 1;
        for (int i = 0; i < demands.length; i++) {
            high = Math.max(high, demands[i] / shares[i]);
        }
        if (sum(dues(demands, shares, high)) <= capacity) {
            return dues(demands, shares, high);
        }
        for (int step = 0; step < STEPS; step++) {
            double level = (low + high) / 2;
            if (sum(dues(demands, shares, level)) > capacity) {
                high = level;
            } else {
                low = level;
            }
        }
        return dues(demands, shares, low);
    }

    private static double[] dues(double[] demands, double[] shares, double level) {
        double[] dues = new double[demands.length];
        for (int i = 0; i < dues.length; i++) {
            dues[i] = Math.min(demands[i], level * shares[i]);
        }
        return dues;
    }

    private static double sum(double[] values) {
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        return sum;
    }
}
