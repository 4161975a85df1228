package org.hibiscususher.core.scheduler.host;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.hibiscususher.core.job.JobPool;
import org.hibiscususher.core.job.StepSpec;
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
import org.hibiscususher.core.scheduler.world.TaskState;

/**
 * Moves hosts to the pools whose demand rises.
 *
 * <p>Answers demand that turns from queue to queue: a pool whose waiting work would not begin soon
 * gets idle hosts of pools that can do without them, and those of the spare pool.
 */
public final class HostMoveSystem {
    /** Part of what callers hand in that a pool should have beyond it, in percent. */
    private static final int TAKE_PERCENT = 45;

    /** The same part for a pool that gives hosts away; more, so that hosts don't go to and fro. */
    private static final int GIVE_PERCENT = 80;

    /** Time between two decisions, in milliseconds. */
    private static final long EVERY_MS = 50;

    /** Part of all hosts that may be on their way at a time, in percent. */
    private static final int MOVING_PERCENT = 60;

    /** Time after which a lasting task that waits shows that its pool lacks hosts. */
    private static final long STUCK_MS = 400;

    /** Processor time of a host while none is listed, in thousandths of a core. */
    private static final long DEFAULT_HOST_CPU = 64_000;

    private HostMoveSystem() {}

    /** Runs over the pools. */
    public static void run(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        boolean due = tick.nowMs() - world.movesDecidedMs().get() >= EVERY_MS;
        if (!due || world.hostList().get().listedMs() == 0 || !Authority.mayOrderHosts(tick)) {
            return;
        }
        world.movesDecidedMs().set(tick.nowMs());
        long moving =
                world.hostOperations().rows().stream()
                        .filter(t -> !t.destinationPool().isEmpty())
                        .count();
        long maxMoving = Math.max(1, world.hosts().size() * MOVING_PERCENT / 100);
        long hostCpu = hostCpu(world);
        Map<String, PoolDemand> needs = needs(tick, hostCpu);
        MovableHosts donors = MovableHosts.select(tick, needs, GIVE_PERCENT, hostCpu);
        for (PoolDemand need : needs.values()) {
            int missing = need.missingHosts(TAKE_PERCENT, hostCpu);
            while (missing > 0 && moving < maxMoving) {
                Optional<HostReport> host = donors.pollHostFor(need.pool());
                if (host.isEmpty()) {
                    break;
                }
                HostOperations.begin(tick, host.get(), 0, need.pool());
                missing--;
                moving++;
            }
        }
        giveBack(tick, donors);
    }

    /** Returns the processor time of a host, in thousandths of a core. */
    private static long hostCpu(SchedulerWorld world) {
        return (long)
                world.hosts().rows().stream()
                        .mapToLong(h -> h.capacity().cpuMillis())
                        .filter(cpu -> cpu > 0)
                        .average()
                        .orElse(DEFAULT_HOST_CPU);
    }

    /** Gives hosts that a pool can do without to the spare pool, where they are not paid for. */
    private static void giveBack(SchedulerTick tick, MovableHosts donors) {
        Optional<JobPool> spare =
                tick.world().configuration().get().configuration().pools().stream()
                        .filter(JobPool::spare)
                        .findFirst();
        if (spare.isEmpty()) {
            return;
        }
        String pool = spare.get().name();
        for (Optional<HostReport> host = donors.pollIdleHostFor(pool);
                host.isPresent();
                host = donors.pollIdleHostFor(pool)) {
            HostOperations.begin(tick, host.get(), 0, pool);
        }
    }

    private static Map<String, PoolDemand> needs(SchedulerTick tick, long hostCpu) {
        SchedulerWorld world = tick.world();
        Map<String, PoolDemand> needs = new LinkedHashMap<>();
        Map<String, Long> offered = OfferedLoad.byPool(tick);
        Map<String, Integer> spread = spreadHosts(world);
        for (JobPool pool : world.configuration().get().configuration().pools()) {
            if (!pool.spare()) {
                needs.put(pool.name(), need(tick, pool.name(), hostCpu, offered, spread));
            }
        }
        return needs;
    }

    private static PoolDemand need(
            SchedulerTick tick,
            String pool,
            long hostCpu,
            Map<String, Long> offered,
            Map<String, Integer> spread) {
        SchedulerWorld world = tick.world();
        int hosts = 0;
        long used = 0;
        long lasting = 0;
        long capacity = 0;
        for (ExecutorRow row : world.executors().group(pool)) {
            boolean silent =
                    world.executorSessions()
                            .find(row.id())
                            .filter(c -> c.consecutiveFailures() > 0)
                            .isPresent();
            if (row.cordoned() || row.report().draining() || row.missingSinceMs() != 0 || silent) {
                continue;
            }
            hosts++;
            capacity += row.report().capacity().cpuMillis();
            for (RunRow run : world.runs().group(row.id())) {
                used += run.reserved().cpuMillis();
                lasting += isLasting(world, run) ? run.reserved().cpuMillis() : 0;
            }
        }
        for (HostOperationRow row : world.hostOperations().rows()) {
            if (row.destinationPool().equals(pool)) {
                hosts++;
                capacity += hostCpu;
            }
        }
        long waiting = 0;
        int stuck = 0;
        for (TaskRow task : world.tasks().group(new TaskGroup(pool, TaskState.WAITING))) {
            StepSpec spec = JobLifecycle.findSpec(world, task.key().stepKey()).orElseThrow();
            if (!task.uncertain()) {
                waiting += spec.reserved().cpuMillis();
                stuck += spec.service() && tick.nowMs() - task.readySinceMs() > STUCK_MS ? 1 : 0;
            }
        }
        return new PoolDemand(
                pool,
                hosts,
                used,
                lasting,
                capacity,
                waiting,
                spread.getOrDefault(pool, 0),
                stuck,
                offered.getOrDefault(pool, 0L));
    }

    /** Returns for each pool over how many hosts the widest of its steps has to be spread. */
    private static Map<String, Integer> spreadHosts(SchedulerWorld world) {
        Map<String, Integer> spread = new HashMap<>();
        for (StepRow row : world.steps().rows()) {
            JobRow job = world.jobs().find(row.key().jobId()).orElseThrow();
            StepSpec spec = job.spec().steps().get(row.key().step());
            if (spec.maxPerExecutor() > 0 && row.remaining() > 0) {
                int hosts = (row.remaining() + spec.maxPerExecutor() - 1) / spec.maxPerExecutor();
                spread.merge(job.policy().pool(), hosts, Math::max);
            }
        }
        return spread;
    }

    private static boolean isLasting(SchedulerWorld world, RunRow run) {
        return JobLifecycle.findSpec(world, run.task().stepKey())
                .filter(StepSpec::service)
                .isPresent();
    }
}
