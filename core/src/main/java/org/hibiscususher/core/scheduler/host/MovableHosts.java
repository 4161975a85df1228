package org.hibiscususher.core.scheduler.host;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hibiscususher.core.job.JobPool;
import org.hibiscususher.core.scheduler.evacuation.ZoneEvacuations;
import org.hibiscususher.core.scheduler.message.HostReport;
import org.hibiscususher.core.scheduler.message.HostState;
import org.hibiscususher.core.scheduler.world.ExecutorHealthRow;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;

/**
 * The hosts that one round of moves may take: idle hosts of pools with a surplus, and the hosts of
 * the spare pool.
 *
 * <p>Several pools may ask for hosts in one round. Each host is handed out once, and a pool loses
 * no more hosts than its surplus in total. Not thread-safe.
 */
final class MovableHosts {
    /** Part of an even share of all hosts that each pool keeps without demand, in percent. */
    private static final int MIN_SHARE_PERCENT = 35;

    private static final int FULL_PERCENT = 100;

    /** Minimum time that a host stays in a pool before it moves again, in milliseconds. */
    private static final long MIN_STAY_MS = 3_000;

    /** Time without the end of a run after which an empty host is idle, in milliseconds. */
    private static final long MIN_IDLE_MS = 1_000;

    /** Number of hosts that each pool may still lose. */
    private final Map<String, Integer> mSurplus = new HashMap<>();

    private final List<HostReport> mIdleHosts = new ArrayList<>();

    /** Hosts of the spare pool, which are switched off until they are moved. */
    private final List<HostReport> mSpareHosts = new ArrayList<>();

    private MovableHosts() {}

    /**
     * Returns the hosts that may be moved now.
     *
     * @param tick the current tick
     * @param demands demand of each pool by name, without the spare pool
     * @param reservePercent capacity that a pool keeps on top of its offered load, in percent of it
     * @param hostCpuMillis processor capacity of a host, in thousandths of a core
     */
    static MovableHosts select(
            SchedulerTick tick,
            Map<String, PoolDemand> demands,
            int reservePercent,
            long hostCpuMillis) {
        SchedulerWorld world = tick.world();
        MovableHosts movable = new MovableHosts();
        int minHosts = minHostsPerPool(world);
        demands.forEach(
                (pool, demand) ->
                        movable.mSurplus.put(
                                pool,
                                demand.surplusHosts(reservePercent, hostCpuMillis, minHosts)));
        for (HostReport host : world.hosts().rows()) {
            if (host.state() != HostState.UP
                    || world.hostOperations().contains(host.id())
                    || ZoneEvacuations.isEvacuated(world, host)
                    || HostOrderSystem.isDeferred(tick, host.id())) {
                continue;
            }
            if (isInSparePool(world, host)) {
                movable.mSpareHosts.add(host);
            } else if (isIdle(tick, host)) {
                movable.mIdleHosts.add(host);
            }
        }
        return movable;
    }

    /** Returns whether a host is in the spare pool and has no executor. */
    private static boolean isInSparePool(SchedulerWorld world, HostReport host) {
        boolean spare =
                world.configuration()
                        .get()
                        .configuration()
                        .pool(host.pool())
                        .map(JobPool::spare)
                        .orElse(false);
        return spare && host.executor().isEmpty();
    }

    /** Returns how many hosts a pool keeps to absorb a surge until others arrive. */
    private static int minHostsPerPool(SchedulerWorld world) {
        int pools = Math.max(1, world.configuration().get().configuration().pools().size());
        return (world.hosts().size() * MIN_SHARE_PERCENT / FULL_PERCENT + pools - 1) / pools;
    }

    /** Returns whether a host has stayed long enough in its pool and has been without runs. */
    private static boolean isIdle(SchedulerTick tick, HostReport host) {
        SchedulerWorld world = tick.world();
        ExecutorRow row = world.executors().find(host.executor()).orElse(null);
        long endedMs =
                world.executorHealth()
                        .find(host.executor())
                        .map(ExecutorHealthRow::lastFinishedMs)
                        .orElse(0L);
        return row != null
                && !row.cordoned()
                && Eviction.areRunsKnown(world, row.id())
                && ageMs(tick, row) > MIN_STAY_MS
                && tick.nowMs() - endedMs > MIN_IDLE_MS
                && world.runs().group(row.id()).isEmpty();
    }

    /**
     * Returns the age of an executor in milliseconds.
     *
     * <p>A new owner has just seen all executors for the first time, so the start time that an
     * executor reports counts if there is one.
     */
    private static long ageMs(SchedulerTick tick, ExecutorRow row) {
        long startedAtMs = row.report().startedAtMs();
        long sinceSeenMs = tick.nowMs() - row.firstSeenMs();
        return startedAtMs == 0 ? sinceSeenMs : Math.max(sinceSeenMs, tick.wallMs() - startedAtMs);
    }

    /** Removes and returns an idle host of another pool with a surplus, or else a spare one. */
    Optional<HostReport> pollHostFor(String pool) {
        Optional<HostReport> idle = pollIdleHostFor(pool);
        return idle.isPresent() || mSpareHosts.isEmpty()
                ? idle
                : Optional.of(mSpareHosts.remove(0));
    }

    /** Removes and returns an idle host of another pool with a surplus. */
    Optional<HostReport> pollIdleHostFor(String pool) {
        for (HostReport host : mIdleHosts) {
            if (!host.pool().equals(pool) && mSurplus.getOrDefault(host.pool(), 0) > 0) {
                mSurplus.merge(host.pool(), -1, Integer::sum);
                mIdleHosts.remove(host);
                return Optional.of(host);
            }
        }
        return Optional.empty();
    }
}
