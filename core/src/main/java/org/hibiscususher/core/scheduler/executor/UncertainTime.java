package org.hibiscususher.core.scheduler.executor;

import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunStage;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.StartKey;

/**
 * How long a run whose start order got no answer may go on after its executor has fallen silent.
 *
 * <p>The executor may have restarted unseen before the order arrived. Its clock then began anew, so
 * that the deadline of the order is far ahead there and the run holds the longest lease that an
 * executor grants, whatever the owner knows of the lease of the earlier incarnation. The order
 * can't arrive after its answer was found to be missing, since its connection was reset then.
 */
final class UncertainTime {
    private UncertainTime() {}

    /** Returns whether a run whose executor's known lease has expired has certainly ended. */
    static boolean isOver(SchedulerTick tick, RunRow run) {
        if (run.stage() == RunStage.SENT) {
            return false;
        }
        StartKey start = new StartKey(run.task(), run.run());
        long maxLeaseMs = tick.world().settings().timing().maxExecutorLeaseMs();
        return tick.world()
                .uncertainStarts()
                .find(start)
                .map(row -> HeartbeatSystem.leaseEndMs(row.detectedMs(), maxLeaseMs))
                .map(endMs -> tick.nowMs() > endMs)
                .orElse(true);
    }
}
