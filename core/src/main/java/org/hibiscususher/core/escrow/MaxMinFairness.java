package org.hibiscususher.core.escrow;

/** Weighted max-min fairness. */
final class MaxMinFairness {
    private MaxMinFairness() {}

    /**
     * Returns what each party is due: no more than it demands, and otherwise in proportion to its
     * weight.
     *
     * <p>Takes time quadratic in the number of parties at worst.
     *
     * @param demands demand of each party, 0 or more
     * @param weights weight of each party, above 0
     * @param capacity what there is to share, 0 or more
     */
    static double[] allocate(double[] demands, double[] weights, double capacity) {
        double[] dues = new double[demands.length];
        boolean[] met = new boolean[demands.length];
        double left = Math.max(0, capacity);
        boolean changed = true;
        while (changed) {
            changed = false;
            double weight = 0;
            for (int i = 0; i < demands.length; i++) {
                weight += met[i] ? 0 : weights[i];
            }
            double level = weight == 0 ? 0 : left / weight;
            for (int i = 0; i < demands.length; i++) {
                if (!met[i] && demands[i] <= level * weights[i]) {
                    dues[i] = demands[i];
                    left -= demands[i];
                    met[i] = true;
                    changed = true;
                }
            }
            for (int i = 0; i < demands.length && !changed; i++) {
                dues[i] = met[i] ? dues[i] : level * weights[i];
            }
        }
        return dues;
    }
}
