package org.hibiscususher.core.scheduler.host;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.hibiscususher.core.job.JobPool;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.evacuation.ZoneEvacuations;
import org.hibiscususher.core.scheduler.job.JobLifecycle;
import org.hibiscususher.core.scheduler.message.HostReport;
import org.hibiscususher.core.scheduler.term.Authority;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.HostOperationRow;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StepRow;
import org.hibiscususher.core.scheduler.world.TaskGroup;
import org.hibiscususher.core.scheduler.world.TaskRow;

/**
 * Moves hosts to the pools whose demand rises.
 *
 * <p>Demand shifts from queue to queue. A pool whose waiting work would not start soon gets idle
 * hosts of pools with a surplus, and hosts of the spare pool.
 */
public final class HostMoveSystem {
    /** Capacity that a pool should have on top of its offered load, in percent of the load. */
    private static final int DEMAND_RESERVE_PERCENT = 45;

    /** The same for a pool that loses hosts; higher, so that hosts don't move back and forth. */
    private static final int SURPLUS_RESERVE_PERCENT = 80;

    /** Time between two rounds of moves, in milliseconds. */
    private static final long INTERVAL_MS = 50;

    /** Time between two log lines on the demand of a pool, in milliseconds. */
    private static final long LOG_INTERVAL_MS = 1_000;

    /** Part of all hosts that may be moving at a time, in percent. */
    private static final int MAX_MOVING_PERCENT = 60;

    /** Waiting time of a service task from which its pool lacks hosts, in milliseconds. */
    private static final long MIN_STUCK_MS = 400;

    /** Processor capacity assumed while no host is listed, in thousandths of a core. */
    private static final long DEFAULT_HOST_CPU_MILLIS = 64_000;

    private HostMoveSystem() {}

    /** Begins the moves that are due. */
    public static void run(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        boolean due = tick.nowMs() - world.movesDecidedMs().get() >= INTERVAL_MS;
        if (!due || world.hostList().get().listedMs() == 0 || !Authority.mayOrderHosts(tick)) {
            return;
        }
        world.movesDecidedMs().set(tick.nowMs());
        long moving =
                world.hostOperations().rows().stream()
                        .filter(o -> !o.destinationPool().isEmpty())
                        .count();
        long maxMoving = Math.max(1, world.hosts().size() * MAX_MOVING_PERCENT / 100);
        long hostCpuMillis = hostCpuMillis(world);
        Map<String, PoolDemand> demands = demands(tick, hostCpuMillis);
        MovableHosts movable =
                MovableHosts.select(tick, demands, SURPLUS_RESERVE_PERCENT, hostCpuMillis);
        logDemands(tick, demands);
        for (PoolDemand demand : demands.values()) {
            int missing = demand.missingHosts(DEMAND_RESERVE_PERCENT, hostCpuMillis);
            while (missing > 0 && moving < maxMoving) {
                Optional<HostReport> host = movable.pollHostFor(demand.pool());
                if (host.isEmpty()) {
                    break;
                }
                HostOperations.begin(tick, host.get(), 0, demand.pool());
                missing--;
                moving++;
            }
        }
        returnToSparePool(tick, movable);
    }

    /**
     * Logs the demand of each pool from time to time, so that the wait of a job can be explained.
     */
    private static void logDemands(SchedulerTick tick, Map<String, PoolDemand> demands) {
        long periodMs = tick.nowMs() % LOG_INTERVAL_MS;
        if (periodMs < INTERVAL_MS) {
            demands.values().forEach(demand -> tick.log("pool-demand", demand.describe()));
        }
    }

    /** Returns the average processor capacity of a host, in thousandths of a core. */
    private static long hostCpuMillis(SchedulerWorld world) {
        return (long)
                world.hosts().rows().stream()
                        .mapToLong(h -> h.capacity().cpuMillis())
                        .filter(cpu -> cpu > 0)
                        .average()
                        .orElse(DEFAULT_HOST_CPU_MILLIS);
    }

    /** Moves the remaining surplus to the spare pool, where hosts are not paid for. */
    private static void returnToSparePool(SchedulerTick tick, MovableHosts movable) {
        Optional<JobPool> spare =
                tick.world().configuration().get().configuration().pools().stream()
                        .filter(JobPool::spare)
                        .findFirst();
        if (spare.isEmpty()) {
            return;
        }
        String pool = spare.get().name();
        for (Optional<HostReport> host = movable.pollIdleHostFor(pool);
                host.isPresent();
                host = movable.pollIdleHostFor(pool)) {
            HostOperations.begin(tick, host.get(), 0, pool);
        }
    }

    /** Returns the demand of each pool by name, without the spare pool. */
    private static Map<String, PoolDemand> demands(SchedulerTick tick, long hostCpuMillis) {
        SchedulerWorld world = tick.world();
        Map<String, PoolDemand> demands = new LinkedHashMap<>();
        Map<String, Long> offeredLoad = OfferedLoad.byPool(tick);
        Map<String, Integer> spreadHosts = minHostsBySpread(world);
        for (JobPool pool : world.configuration().get().configuration().pools()) {
            if (!pool.spare()) {
                demands.put(
                        pool.name(),
                        demandOf(tick, pool.name(), hostCpuMillis, offeredLoad, spreadHosts));
            }
        }
        return demands;
    }

    /**
     * Measures the demand of a pool. Executors that get no new runs now, because they are silent,
     * draining, cordoned, in an evacuated zone or no longer registered, don't count.
     */
    private static PoolDemand demandOf(
            SchedulerTick tick,
            String pool,
            long hostCpuMillis,
            Map<String, Long> offeredLoad,
            Map<String, Integer> spreadHosts) {
        SchedulerWorld world = tick.world();
        int hosts = 0;
        long usedCpuMillis = 0;
        long serviceCpuMillis = 0;
        long capacityCpuMillis = 0;
        for (ExecutorRow row : world.executors().group(pool)) {
            boolean isSilent =
                    world.executorSessions()
                            .find(row.id())
                            .filter(s -> s.consecutiveFailures() > 0)
                            .isPresent();
            if (row.cordoned()
                    || row.report().draining()
                    || row.missingSinceMs() != 0
                    || ZoneEvacuations.isEvacuated(world, row)
                    || isSilent) {
                continue;
            }
            hosts++;
            capacityCpuMillis += row.report().capacity().cpuMillis();
            for (RunRow run : world.runs().group(row.id())) {
                usedCpuMillis += run.reserved().cpuMillis();
                serviceCpuMillis +=
                        JobLifecycle.isService(world, run) ? run.reserved().cpuMillis() : 0;
            }
        }
        for (HostOperationRow row : world.hostOperations().rows()) {
            if (row.destinationPool().equals(pool) && !ZoneEvacuations.isEvacuated(world, row)) {
                hosts++;
                capacityCpuMillis += hostCpuMillis;
            }
        }
        long waitingCpuMillis = 0;
        int stuckTasks = 0;
        for (TaskGroup group : world.waitingGroups(pool)) {
            if (!group.uncertain()) {
                StepSpec spec = JobLifecycle.findSpec(world, group.step()).orElseThrow();
                Collection<TaskRow> tasks = world.tasks().group(group);
                waitingCpuMillis += tasks.size() * spec.reserved().cpuMillis();
                stuckTasks += spec.service() ? countStuck(tasks, tick.nowMs()) : 0;
            }
        }
        return new PoolDemand(
                pool,
                hosts,
                usedCpuMillis,
                serviceCpuMillis,
                capacityCpuMillis,
                waitingCpuMillis,
                spreadHosts.getOrDefault(pool, 0),
                stuckTasks,
                offeredLoad.getOrDefault(pool, 0L));
    }

    /** Returns how many tasks have waited so long that free capacity must be missing. */
    private static int countStuck(Collection<TaskRow> tasks, long nowMs) {
        return (int) tasks.stream().filter(t -> nowMs - t.readySinceMs() > MIN_STUCK_MS).count();
    }

    /** Returns for each pool how many hosts the limit of tasks per executor requires at least. */
    private static Map<String, Integer> minHostsBySpread(SchedulerWorld world) {
        Map<String, Integer> spreadHosts = new HashMap<>();
        for (StepRow row : world.steps().rows()) {
            JobRow job = world.jobs().find(row.key().jobId()).orElseThrow();
            StepSpec spec = job.spec().steps().get(row.key().step());
            if (spec.maxPerExecutor() > 0 && row.remaining() > 0) {
                int hosts = (row.remaining() + spec.maxPerExecutor() - 1) / spec.maxPerExecutor();
                spreadHosts.merge(job.policy().pool(), hosts, Math::max);
            }
        }
        return spreadHosts;
    }
}
