package org.hibiscususher.core.scheduler.host;

import static java.util.Objects.requireNonNull;

/**
 * The demand of a pool, and the capacity that it has.
 *
 * @param pool name of the pool
 * @param hosts executors that accept runs, plus hosts that are moving to the pool
 * @param usedCpuMillis processor capacity that runs reserve, in thousandths of a core
 * @param serviceCpuMillis part of {@code usedCpuMillis} that service tasks reserve, in thousandths
 *     of a core
 * @param capacityCpuMillis processor capacity of the pool's hosts, in thousandths of a core
 * @param waitingCpuMillis processor capacity that waiting tasks ask for, in thousandths of a core
 * @param spreadHosts fewest hosts that satisfy the limits of tasks per executor
 * @param stuckTasks service tasks that have waited so long that free capacity must be missing
 * @param offeredCpuMillis offered load: processor capacity that keeps up with arriving jobs, in
 *     thousandths of a core
 */
record PoolDemand(
        String pool,
        int hosts,
        long usedCpuMillis,
        long serviceCpuMillis,
        long capacityCpuMillis,
        long waitingCpuMillis,
        int spreadHosts,
        int stuckTasks,
        long offeredCpuMillis) {
    private static final int FULL_PERCENT = 100;

    private static final int MILLIS_PER_CORE = 1_000;

    /** Maximum number of hosts that a round of moves adds for stuck tasks. */
    private static final int MAX_HOSTS_FOR_STUCK = 2;

    /** Rejects a null name. */
    PoolDemand {
        requireNonNull(pool);
    }

    /**
     * Returns the processor capacity that the pool should have, in thousandths of a core: enough
     * for all runs and waiting tasks now, and for service tasks and the offered load soon.
     *
     * @param reservePercent capacity on top of the offered load, in percent of it
     */
    long wantedCpuMillis(int reservePercent) {
        long nowCpuMillis = usedCpuMillis + waitingCpuMillis;
        long soonCpuMillis =
                serviceCpuMillis
                        + offeredCpuMillis * (FULL_PERCENT + reservePercent) / FULL_PERCENT;
        return Math.max(nowCpuMillis, soonCpuMillis);
    }

    /**
     * Returns how many hosts the pool lacks.
     *
     * @param reservePercent capacity on top of the offered load, in percent of it
     * @param hostCpuMillis processor capacity of a host, in thousandths of a core
     */
    int missingHosts(int reservePercent, long hostCpuMillis) {
        long missingCpuMillis = wantedCpuMillis(reservePercent) - capacityCpuMillis;
        int forWork =
                missingCpuMillis <= 0
                        ? 0
                        : (int) ((missingCpuMillis + hostCpuMillis - 1) / hostCpuMillis);
        int forSpread = Math.max(spreadHosts - hosts, Math.min(stuckTasks, MAX_HOSTS_FOR_STUCK));
        return Math.max(forWork, forSpread);
    }

    /**
     * Returns how many hosts the pool can lose; 0 while it has stuck tasks.
     *
     * @param reservePercent capacity on top of the offered load, in percent of it
     * @param hostCpuMillis processor capacity of a host, in thousandths of a core
     * @param keptHosts number of hosts that the pool keeps in any case
     */
    int surplusHosts(int reservePercent, long hostCpuMillis, int keptHosts) {
        int neededHosts =
                (int) ((wantedCpuMillis(reservePercent) + hostCpuMillis - 1) / hostCpuMillis);
        int minHosts = Math.max(keptHosts, spreadHosts);
        return stuckTasks > 0 ? 0 : Math.max(0, hosts - Math.max(minHosts, neededHosts));
    }

    /** Returns the fields of a log line, with processor capacity in cores. */
    String describe() {
        return "pool="
                + pool
                + " hosts="
                + hosts
                + " cores="
                + capacityCpuMillis / MILLIS_PER_CORE
                + " used="
                + usedCpuMillis / MILLIS_PER_CORE
                + " services="
                + serviceCpuMillis / MILLIS_PER_CORE
                + " waiting="
                + waitingCpuMillis / MILLIS_PER_CORE
                + " offered="
                + offeredCpuMillis / MILLIS_PER_CORE
                + " stuck="
                + stuckTasks;
    }
}
