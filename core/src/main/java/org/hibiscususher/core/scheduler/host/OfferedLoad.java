package org.hibiscususher.core.scheduler.host;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;

/**
 * The offered load of each pool: the processor capacity that keeps up with recently sent jobs.
 *
 * <p>Answers queues whose demand rises to several times its mean within a moment, by turns. The
 * load is averaged over a second; a pool with many jobs shows its rise sooner, by those of a
 * shorter time alone.
 */
final class OfferedLoad {
    /** Time over which arriving work is averaged, in milliseconds. */
    private static final long WINDOW_MS = 1_000;

    /** Time over which the work of many jobs is averaged, in milliseconds. */
    private static final long SHORT_WINDOW_MS = 300;

    /** Fewest jobs in the short window for which their mean size says enough. */
    private static final int MIN_JOBS = 8;

    private static final long MS_PER_SECOND = 1_000;

    private OfferedLoad() {}

    /** Returns the offered load by name of pool, in thousandths of a core. */
    static Map<String, Long> byPool(SchedulerTick tick) {
        return byPool(tick.world().jobs().rows(), tick.nowMs());
    }

    /**
     * Returns the offered load by name of pool, in thousandths of a core.
     *
     * @param jobs jobs in the order of their arrival
     * @param nowMs the time on the steady clock
     */
    static Map<String, Long> byPool(List<JobRow> jobs, long nowMs) {
        Map<String, Long> work = new HashMap<>();
        Map<String, Long> recentWork = new HashMap<>();
        Map<String, Integer> recentJobs = new HashMap<>();
        for (int i = jobs.size() - 1; i >= 0; i--) {
            JobRow job = jobs.get(i);
            long ageMs = nowMs - job.arrivedMs();
            if (ageMs > WINDOW_MS) {
                break;
            }
            String pool = job.policy().pool();
            work.merge(pool, job.spec().workCoreMs(), Long::sum);
            if (ageMs <= SHORT_WINDOW_MS) {
                recentWork.merge(pool, job.spec().workCoreMs(), Long::sum);
                recentJobs.merge(pool, 1, Integer::sum);
            }
        }
        Map<String, Long> load = new HashMap<>();
        work.forEach((pool, coreMs) -> load.put(pool, cpuMillis(coreMs, WINDOW_MS)));
        recentWork.forEach(
                (pool, coreMs) -> {
                    if (recentJobs.get(pool) >= MIN_JOBS) {
                        load.merge(pool, cpuMillis(coreMs, SHORT_WINDOW_MS), Math::max);
                    }
                });
        return load;
    }

    /** Returns the capacity that takes up work at the rate at which it arrived. */
    private static long cpuMillis(long workCoreMs, long windowMs) {
        return workCoreMs * MS_PER_SECOND / windowMs;
    }
}
