package org.hibiscususher.core.scheduler.host;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hibiscususher.core.scheduler.estimate.RunTimes;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;

/**
 * The offered load of each pool: the processor capacity that keeps up with recently sent jobs.
 *
 * <p>Answers queues whose demand rises to several times its mean within a moment. The load is
 * averaged over a second. While it rises steeply in a pool with many jobs, those of a shorter time
 * count alone, so that hosts begin to move at once; they don't otherwise, because their load
 * fluctuates.
 */
final class OfferedLoad {
    /** Time over which arriving work is averaged, in milliseconds. */
    private static final long WINDOW_MS = 1_000;

    /** Time over which the work is averaged while it rises, in milliseconds. */
    private static final long SHORT_WINDOW_MS = 300;

    /** Fewest jobs in the short window for which their mean size says enough. */
    private static final int MIN_JOBS = 8;

    /** Factor between the load of the short window and the one before it from which it rises. */
    private static final long RISE_FACTOR = 2;

    private static final long MS_PER_SECOND = 1_000;

    private OfferedLoad() {}

    /** Returns the offered load by name of pool, in thousandths of a core. */
    static Map<String, Long> byPool(SchedulerTick tick) {
        return byPool(tick.world(), tick.world().jobs().rows(), tick.nowMs());
    }

    /**
     * Returns the offered load by name of pool, in thousandths of a core.
     *
     * @param world tables, for the expected run times
     * @param jobs jobs in the order of their arrival
     * @param nowMs the time on the steady clock
     */
    static Map<String, Long> byPool(SchedulerWorld world, List<JobRow> jobs, long nowMs) {
        Map<String, Arrivals> arrivals = new HashMap<>();
        for (int i = jobs.size() - 1; i >= 0; i--) {
            JobRow job = jobs.get(i);
            long ageMs = nowMs - job.arrivedMs();
            if (ageMs > WINDOW_MS) {
                break;
            }
            long coreMs = RunTimes.workCoreMs(world, job);
            boolean recent = ageMs <= SHORT_WINDOW_MS;
            arrivals.merge(
                    job.policy().pool(),
                    recent ? new Arrivals(0, coreMs, 1) : new Arrivals(coreMs, 0, 0),
                    Arrivals::plus);
        }
        Map<String, Long> load = new HashMap<>();
        arrivals.forEach((pool, arrived) -> load.put(pool, arrived.cpuMillis()));
        return load;
    }

    /**
     * Work that arrived within the window.
     *
     * @param earlierCoreMs work that arrived before the short window, in core-milliseconds
     * @param recentCoreMs work that arrived in the short window, in core-milliseconds
     * @param recentJobs jobs that arrived in the short window
     */
    private record Arrivals(long earlierCoreMs, long recentCoreMs, int recentJobs) {
        Arrivals plus(Arrivals other) {
            return new Arrivals(
                    earlierCoreMs + other.earlierCoreMs,
                    recentCoreMs + other.recentCoreMs,
                    recentJobs + other.recentJobs);
        }

        /** Returns the capacity that takes up the work at the rate at which it arrives. */
        long cpuMillis() {
            long recentMillis = recentCoreMs * MS_PER_SECOND / SHORT_WINDOW_MS;
            long earlierMillis = earlierCoreMs * MS_PER_SECOND / (WINDOW_MS - SHORT_WINDOW_MS);
            boolean rises = recentMillis > RISE_FACTOR * earlierMillis;
            return rises && recentJobs >= MIN_JOBS
                    ? recentMillis
                    : (earlierCoreMs + recentCoreMs) * MS_PER_SECOND / WINDOW_MS;
        }
    }
}
