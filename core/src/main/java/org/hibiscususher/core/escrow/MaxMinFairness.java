package org.hibiscususher.core.escrow;

/** Weighted max-min fair allocation of a divisible capacity. */
final class MaxMinFairness {
    private MaxMinFairness() {}

    /**
     * Divides a capacity among parties by progressive filling: no party gets more than it demands,
     * and those that get less get amounts in proportion to their weights.
     *
     * <p>Takes time quadratic in the number of parties at worst.
     *
     * @param demands demand of each party, 0 or more
     * @param weights weight of each party, above 0
     * @param capacity the amount to divide; less than 0 counts as 0
     * @return the allocation of each party, in the order of the demands
     */
    static double[] allocate(double[] demands, double[] weights, double capacity) {
        double[] allocations = new double[demands.length];
        boolean[] satisfied = new boolean[demands.length];
        double remaining = Math.max(0, capacity);
        boolean changed = true;
        while (changed) {
            changed = false;
            double unsatisfiedWeight = 0;
            for (int i = 0; i < demands.length; i++) {
                unsatisfiedWeight += satisfied[i] ? 0 : weights[i];
            }
            double perWeight = unsatisfiedWeight == 0 ? 0 : remaining / unsatisfiedWeight;
            for (int i = 0; i < demands.length; i++) {
                if (!satisfied[i] && demands[i] <= perWeight * weights[i]) {
                    allocations[i] = demands[i];
                    remaining -= demands[i];
                    satisfied[i] = true;
                    changed = true;
                }
            }
            for (int i = 0; i < demands.length && !changed; i++) {
                allocations[i] = satisfied[i] ? allocations[i] : perWeight * weights[i];
            }
        }
        return allocations;
    }
}
