package org.hibiscususher.core.scheduler.upkeep;

import static java.util.Objects.requireNonNull;

/**
 * How well a pool's hosts match its work.
 *
 * @param pool the pool
 * @param hosts executors that can take work, and hosts on their way to the pool
 * @param usedCpu processor time that runs reserve, in thousandths of a core
 * @param capacityCpu processor time of the pool's hosts, in thousandths of a core
 * @param waitingCpu processor time that waiting tasks ask for, in thousandths of a core
 * @param waitingWork work of the waiting tasks, in thousandths of a core times milliseconds
 */
record PoolNeed(
        String pool, int hosts, long usedCpu, long capacityCpu, long waitingCpu, long waitingWork) {
    /** Checks the parts. */
    PoolNeed {
        requireNonNull(pool);
    }

    /** Returns how many hosts more would let the waiting work begin within the given time. */
    int missing(long withinMs, long hostCpu) {
        long freeCpu = capacityCpu - usedCpu;
        if (waitingCpu <= freeCpu) {
            return 0;
        }
        long neededCpu = Math.min(waitingWork / withinMs, waitingCpu + usedCpu) - capacityCpu;
        return neededCpu <= 0 ? 0 : (int) ((neededCpu + hostCpu - 1) / hostCpu);
    }

    /** Returns how many hosts the pool can do without, if it keeps a reserve in percent. */
    int surplus(long reservePercent, long hostCpu, int keep) {
        long needed = (usedCpu + waitingCpu) * (100 + reservePercent) / 100;
        int neededHosts = (int) ((needed + hostCpu - 1) / hostCpu);
        return Math.max(0, hosts - Math.max(keep, neededHosts));
    }
}
