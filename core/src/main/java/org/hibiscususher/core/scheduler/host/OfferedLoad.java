package org.hibiscususher.core.scheduler.host;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;

/**
 * The work that callers have handed in of late, as the processor time that would keep up with it.
 */
final class OfferedLoad {
    /** Time over which the work that comes is averaged, in milliseconds. */
    private static final long WINDOW_MS = 1_000;

    private OfferedLoad() {}

    /** Returns the load by pool, in thousandths of a core. */
    static Map<String, Long> byPool(SchedulerTick tick) {
        Map<String, Long> load = new HashMap<>();
        List<JobRow> jobs = tick.world().jobs().rows();
        for (int i = jobs.size() - 1; i >= 0; i--) {
            JobRow job = jobs.get(i);
            if (tick.nowMs() - job.arrivedMs() > WINDOW_MS) {
                break;
            }
            // Work is in core-milliseconds: a second of it within a second takes one core.
            load.merge(job.policy().pool(), job.spec().workCoreMs() * 1_000 / WINDOW_MS, Long::sum);
        }
        return load;
    }
}
