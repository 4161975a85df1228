package org.hibiscususher.core.scheduler.executor;

import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunStage;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StartKey;
import org.hibiscususher.core.scheduler.world.UncertainStartRow;

/**
 * How long a run whose start order got no answer may go on after its executor has fallen silent.
 *
 * <p>The executor may have restarted unseen before the order arrived. Its clock then began anew, so
 * that the deadline of the order is far ahead there and the run holds the longest lease that an
 * executor grants, whatever the owner knows of the lease of the earlier incarnation. Each order to
 * start extends the lease of all runs there, so the last one counts. An order whose connection was
 * reset is taken not to arrive any more; one that the executor itself holds back may, see
 * KNOWN-RED.txt.
 */
final class UnansweredStart {
    /** Time after which an order to start has an answer or none, in milliseconds. */
    private static final long MAX_ORDER_MS = 3_000;

    private UnansweredStart() {}

    /**
     * Returns whether a run has certainly ended on a silent executor whose lease, as far as it is
     * known, has expired.
     */
    static boolean hasCertainlyEnded(SchedulerTick tick, RunRow run) {
        SchedulerWorld world = tick.world();
        boolean unanswered =
                run.stage() == RunStage.SENT
                        || world.uncertainStarts().contains(new StartKey(run.task(), run.run()));
        long maxLeaseMs = world.settings().timing().maxExecutorLeaseMs();
        return !unanswered
                || tick.nowMs()
                        > HeartbeatSystem.leaseEndMs(
                                lastArrivalMs(world, run.executor()), maxLeaseMs);
    }

    /** Returns when an order to start without an answer can have reached an executor at last. */
    private static long lastArrivalMs(SchedulerWorld world, String executor) {
        long sentMs =
                world.runs().group(executor).stream()
                        .filter(run -> run.stage() == RunStage.SENT)
                        .mapToLong(run -> run.sentMs() + MAX_ORDER_MS)
                        .max()
                        .orElse(0);
        long detectedMs =
                world.uncertainStarts().rows().stream()
                        .filter(start -> start.executor().equals(executor))
                        .mapToLong(UncertainStartRow::detectedMs)
                        .max()
                        .orElse(0);
        return Math.max(sentMs, detectedMs);
    }
}
