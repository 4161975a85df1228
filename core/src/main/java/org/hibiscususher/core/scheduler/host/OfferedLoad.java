package org.hibiscususher.core.scheduler.host;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;

/** The offered load of each pool: the processor capacity that keeps up with recently sent jobs. */
final class OfferedLoad {
    /** Time over which arriving work is averaged, in milliseconds. */
    private static final long WINDOW_MS = 1_000;

    private OfferedLoad() {}

    /** Returns the offered load by name of pool, in thousandths of a core. */
    static Map<String, Long> byPool(SchedulerTick tick) {
        Map<String, Long> load = new HashMap<>();
        List<JobRow> jobs = tick.world().jobs().rows();
        for (int i = jobs.size() - 1; i >= 0; i--) {
            JobRow job = jobs.get(i);
            if (tick.nowMs() - job.arrivedMs() > WINDOW_MS) {
                break;
            }
            // Work is in core-milliseconds: 1,000 of them that arrive per second take one core.
            load.merge(job.policy().pool(), job.spec().workCoreMs() * 1_000 / WINDOW_MS, Long::sum);
        }
        return load;
    }
}
