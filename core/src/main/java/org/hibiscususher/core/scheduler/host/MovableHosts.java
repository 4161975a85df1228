package org.hibiscususher.core.scheduler.host;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hibiscususher.core.job.JobPool;
import org.hibiscususher.core.scheduler.message.HostReport;
import org.hibiscususher.core.scheduler.message.HostState;
import org.hibiscususher.core.scheduler.world.ExecutorHealthRow;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;

/**
 * The idle hosts that pools can do without, while hosts are moved.
 *
 * <p>Each host is given once, and a pool gives no more than its surplus, to however many others.
 * Not thread-safe.
 */
final class MovableHosts {
    /** Part of an even share of all hosts that a pool keeps in any case, in percent. */
    private static final int KEEP_PERCENT = 35;

    private static final int FULL = 100;

    /** Time for which a host stays in a pool at least, in milliseconds. */
    private static final long STAY_MS = 3_000;

    /** Time without a run after which a host counts as idle, in milliseconds. */
    private static final long IDLE_MS = 1_000;

    private final Map<String, Integer> mLeft = new HashMap<>();
    private final List<HostReport> mIdle = new ArrayList<>();
    private final List<HostReport> mSpare = new ArrayList<>();

    private MovableHosts() {}

    /**
     * Returns the hosts that may be moved now.
     *
     * @param tick the tick
     * @param needs what the pools need
     * @param reservePercent part of what callers hand in that a pool keeps beyond it
     * @param hostCpu processor time of a host, in thousandths of a core
     */
    static MovableHosts select(
            SchedulerTick tick, Map<String, PoolDemand> needs, int reservePercent, long hostCpu) {
        SchedulerWorld world = tick.world();
        MovableHosts donors = new MovableHosts();
        int keep = keptHosts(world);
        needs.forEach(
                (pool, need) ->
                        donors.mLeft.put(pool, need.surplusHosts(reservePercent, hostCpu, keep)));
        for (HostReport host : world.hosts().rows()) {
            if (host.state() != HostState.UP
                    || world.hostOperations().contains(host.id())
                    || HostOrderSystem.isDeferred(tick, host.id())) {
                continue;
            }
            if (isSpare(world, host)) {
                donors.mSpare.add(host);
            } else if (isIdle(tick, host)) {
                donors.mIdle.add(host);
            }
        }
        return donors;
    }

    private static boolean isSpare(SchedulerWorld world, HostReport host) {
        boolean spare =
                world.configuration()
                        .get()
                        .configuration()
                        .pool(host.pool())
                        .map(JobPool::spare)
                        .orElse(false);
        return spare && host.executor().isEmpty();
    }

    /** Returns how many hosts a pool keeps, so that a surge finds some before others have come. */
    private static int keptHosts(SchedulerWorld world) {
        int pools = Math.max(1, world.configuration().get().configuration().pools().size());
        return (world.hosts().size() * KEEP_PERCENT / FULL + pools - 1) / pools;
    }

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
                && ageMs(tick, row) > STAY_MS
                && tick.nowMs() - endedMs > IDLE_MS
                && world.runs().group(row.id()).isEmpty();
    }

    /** Returns how old an executor is; a new owner goes by the start that it reports. */
    private static long ageMs(SchedulerTick tick, ExecutorRow row) {
        long bornMs = row.report().startedAtMs();
        long sinceSeenMs = tick.nowMs() - row.firstSeenMs();
        return bornMs == 0 ? sinceSeenMs : Math.max(sinceSeenMs, tick.wallMs() - bornMs);
    }

    /** Takes an idle host of another pool that can do without it, or else one of the spare pool. */
    Optional<HostReport> pollHostFor(String taker) {
        Optional<HostReport> idle = pollIdleHostFor(taker);
        return idle.isPresent() || mSpare.isEmpty() ? idle : Optional.of(mSpare.remove(0));
    }

    /** Takes an idle host of another pool that can do without it. */
    Optional<HostReport> pollIdleHostFor(String taker) {
        for (HostReport host : mIdle) {
            if (!host.pool().equals(taker) && mLeft.getOrDefault(host.pool(), 0) > 0) {
                mLeft.merge(host.pool(), -1, Integer::sum);
                mIdle.remove(host);
                return Optional.of(host);
            }
        }
        return Optional.empty();
    }
}
