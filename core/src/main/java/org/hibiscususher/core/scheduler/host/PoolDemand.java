package org.hibiscususher.core.scheduler.host;

import static java.util.Objects.requireNonNull;

/**
 * How well a pool's hosts match its work.
 *
 * @param pool the pool
 * @param hosts executors that can take work, and hosts on their way to the pool
 * @param usedCpu processor time that runs reserve, in thousandths of a core
 * @param lastingCpu part of it that lasting tasks reserve
 * @param capacityCpu processor time of the pool's hosts, in thousandths of a core
 * @param waitingCpu processor time that waiting tasks ask for, in thousandths of a core
 * @param spreadHosts hosts over which the widest step has to be spread
 * @param stuckTasks tasks that have waited for long although nothing but room can hold them up
 * @param offeredCpu processor time that keeps up with what callers hand in, in thousandths of a
 *     core
 */
record PoolDemand(
        String pool,
        int hosts,
        long usedCpu,
        long lastingCpu,
        long capacityCpu,
        long waitingCpu,
        int spreadHosts,
        int stuckTasks,
        long offeredCpu) {
    private static final int FULL = 100;

    /** Most hosts that are moved at a time for tasks that have waited for long. */
    private static final int MAX_FOR_STUCK = 2;

    /** Checks the parts. */
    PoolDemand {
        requireNonNull(pool);
    }

    /** Returns the processor time that would let all work go on at once or keep up with it. */
    long wantedCpuMillis(int reservePercent) {
        long now = usedCpu + waitingCpu;
        long soon = lastingCpu + offeredCpu * (FULL + reservePercent) / FULL;
        return Math.max(now, soon);
    }

    /** Returns how many hosts more the pool can use. */
    int missingHosts(int reservePercent, long hostCpu) {
        long lackCpu = wantedCpuMillis(reservePercent) - capacityCpu;
        int forWork = lackCpu <= 0 ? 0 : (int) ((lackCpu + hostCpu - 1) / hostCpu);
        int forSpread = Math.max(spreadHosts - hosts, Math.min(stuckTasks, MAX_FOR_STUCK));
        return Math.max(forWork, forSpread);
    }

    /** Returns how many hosts the pool can do without. */
    int surplusHosts(int reservePercent, long hostCpu, int keep) {
        int needed = (int) ((wantedCpuMillis(reservePercent) + hostCpu - 1) / hostCpu);
        int least = Math.max(keep, spreadHosts);
        return stuckTasks > 0 ? 0 : Math.max(0, hosts - Math.max(least, needed));
    }
}
