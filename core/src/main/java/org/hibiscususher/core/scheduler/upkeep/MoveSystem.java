package org.hibiscususher.core.scheduler.upkeep;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hibiscususher.core.job.JobPool;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.job.Jobs;
import org.hibiscususher.core.scheduler.message.HostReport;
import org.hibiscususher.core.scheduler.message.HostState;
import org.hibiscususher.core.scheduler.term.Authority;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.HostTaskRow;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StandingRow;
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
public final class MoveSystem {
    /** Part of what callers hand in that a pool should have beyond it, in percent. */
    private static final int TAKE_PERCENT = 30;

    /** The same part for a pool that gives hosts away; more, so that hosts don't go to and fro. */
    private static final int GIVE_PERCENT = 80;

    /** Part of an even share of all hosts that a pool keeps in any case, in percent. */
    private static final int KEEP_PERCENT = 50;

    /** Hosts on their way at a time. */
    private static final int MAX_MOVING = 24;

    /** Time for which a host stays in a pool at least, in milliseconds. */
    private static final long STAY_MS = 3_000;

    /** Time without a run after which a host counts as idle, in milliseconds. */
    private static final long IDLE_MS = 1_000;

    /** Time after which a lasting task that waits shows that its pool lacks hosts. */
    private static final long STUCK_MS = 400;

    private static final long DEFAULT_HOST_CPU = 64_000;

    private MoveSystem() {}

    /** Runs over the pools. */
    public static void run(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        if (world.hostList().get().listedMs() == 0 || !Authority.mayOrderHosts(tick)) {
            return;
        }
        long moving = world.hostTasks().rows().stream().filter(t -> !t.pool().isEmpty()).count();
        Map<String, PoolNeed> needs = needs(tick);
        for (PoolNeed need : needs.values()) {
            int missing = need.missing(TAKE_PERCENT, DEFAULT_HOST_CPU);
            for (HostReport host : donors(tick, needs, need.pool())) {
                if (missing <= 0 || moving >= MAX_MOVING) {
                    break;
                }
                HostSteps.begin(tick, host, 0, need.pool());
                missing--;
                moving++;
            }
        }
        giveBack(tick, needs(tick));
    }

    /** Gives hosts that a pool can do without to the spare pool, where they are not paid for. */
    private static void giveBack(SchedulerTick tick, Map<String, PoolNeed> needs) {
        SchedulerWorld world = tick.world();
        Optional<JobPool> spare =
                world.plan().get().plan().pools().stream().filter(JobPool::spare).findFirst();
        if (spare.isEmpty()) {
            return;
        }
        for (HostReport host : donors(tick, needs, spare.get().name())) {
            HostSteps.begin(tick, host, 0, spare.get().name());
        }
    }

    private static Map<String, PoolNeed> needs(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        Map<String, PoolNeed> needs = new LinkedHashMap<>();
        Map<String, Long> offered = OfferedLoad.byPool(tick);
        Map<String, Integer> spread = spreadHosts(world);
        for (JobPool pool : world.plan().get().plan().pools()) {
            if (!pool.spare()) {
                needs.put(pool.name(), need(tick, pool.name(), offered, spread));
            }
        }
        return needs;
    }

    private static PoolNeed need(
            SchedulerTick tick,
            String pool,
            Map<String, Long> offered,
            Map<String, Integer> spread) {
        SchedulerWorld world = tick.world();
        int hosts = 0;
        long used = 0;
        long lasting = 0;
        long capacity = 0;
        for (ExecutorRow row : world.executors().group(pool)) {
            boolean silent =
                    world.contacts().find(row.id()).filter(c -> c.failures() > 0).isPresent();
            if (row.cordoned() || row.report().draining() || row.missingMs() != 0 || silent) {
                continue;
            }
            hosts++;
            capacity += row.report().capacity().cpuMillis();
            for (RunRow run : world.runs().group(row.id())) {
                used += run.reserved().cpuMillis();
                lasting += isLasting(world, run) ? run.reserved().cpuMillis() : 0;
            }
        }
        for (HostTaskRow row : world.hostTasks().rows()) {
            if (row.pool().equals(pool)) {
                hosts++;
                capacity += DEFAULT_HOST_CPU;
            }
        }
        long waiting = 0;
        int stuck = 0;
        for (TaskRow task : world.tasks().group(new TaskGroup(pool, TaskState.WAITING))) {
            StepSpec spec = Jobs.specOf(world, task.key().stepKey()).orElseThrow();
            if (!task.doubtful()) {
                waiting += spec.reserved().cpuMillis();
                stuck += spec.lasting() && tick.nowMs() - task.readyMs() > STUCK_MS ? 1 : 0;
            }
        }
        return new PoolNeed(
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
            if (spec.maxPerExecutor() > 0 && row.left() > 0) {
                int hosts = (row.left() + spec.maxPerExecutor() - 1) / spec.maxPerExecutor();
                spread.merge(job.terms().pool(), hosts, Math::max);
            }
        }
        return spread;
    }

    private static boolean isLasting(SchedulerWorld world, RunRow run) {
        return Jobs.specOf(world, run.task().stepKey()).filter(StepSpec::lasting).isPresent();
    }

    /** Returns the idle hosts that a pool may get, those of other pools first. */
    private static List<HostReport> donors(
            SchedulerTick tick, Map<String, PoolNeed> needs, String taker) {
        SchedulerWorld world = tick.world();
        Map<String, Integer> left = new HashMap<>();
        int keep = keptHosts(world);
        needs.forEach(
                (name, need) -> left.put(name, need.surplus(GIVE_PERCENT, DEFAULT_HOST_CPU, keep)));
        List<HostReport> donors = new ArrayList<>();
        List<HostReport> spares = new ArrayList<>();
        for (HostReport host : world.hosts().rows()) {
            boolean free =
                    host.state() == HostState.UP
                            && !host.pool().equals(taker)
                            && !HostOrderSystem.isResting(tick, host.id())
                            && !world.hostTasks().contains(host.id());
            boolean spare =
                    world.plan().get().plan().pool(host.pool()).map(JobPool::spare).orElse(false);
            if (free && spare && host.executor().isEmpty()) {
                spares.add(host);
            } else if (free && isIdle(tick, host) && left.getOrDefault(host.pool(), 0) > 0) {
                left.merge(host.pool(), -1, Integer::sum);
                donors.add(host);
            }
        }
        donors.addAll(spares);
        return donors;
    }

    /** Returns how many hosts a pool keeps, so that a surge finds some before others have come. */
    private static int keptHosts(SchedulerWorld world) {
        int pools = Math.max(1, world.plan().get().plan().pools().size());
        return (world.hosts().size() * KEEP_PERCENT / 100 + pools - 1) / pools;
    }

    private static boolean isIdle(SchedulerTick tick, HostReport host) {
        SchedulerWorld world = tick.world();
        ExecutorRow row = world.executors().find(host.executor()).orElse(null);
        long endedMs = world.standings().find(host.executor()).map(StandingRow::endedMs).orElse(0L);
        return row != null
                && !row.cordoned()
                && Eviction.isKnown(world, row.id())
                && ageMs(tick, row) > STAY_MS
                && tick.nowMs() - endedMs > IDLE_MS
                && world.runs().group(row.id()).isEmpty();
    }

    /** Returns how old an executor is; a new owner goes by the start that it reports. */
    private static long ageMs(SchedulerTick tick, ExecutorRow row) {
        long bornMs = row.report().bornMs();
        long sinceSeenMs = tick.nowMs() - row.seenMs();
        return bornMs == 0 ? sinceSeenMs : Math.max(sinceSeenMs, tick.wallMs() - bornMs);
    }
}
