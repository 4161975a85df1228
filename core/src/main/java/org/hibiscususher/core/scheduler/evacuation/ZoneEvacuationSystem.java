package org.hibiscususher.core.scheduler.evacuation;

import org.hibiscususher.core.scheduler.executor.RunLifecycle;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ZoneEvacuationRequested;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ZoneEvacuationWithdrawn;
import org.hibiscususher.core.scheduler.term.Authority;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunStage;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.ZoneEvacuationRow;

/**
 * Applies the operators' requests to evacuate zones.
 *
 * <p>Every entry keeps them, whether it is the owner or not, so that the next owner knows them
 * before its first start. The system runs after the answers to orders have been applied: only
 * orders that are still unanswered when a request is read are followed by an order to stop.
 */
public final class ZoneEvacuationSystem {
    private ZoneEvacuationSystem() {}

    /** Applies requests and withdrawals in order, then moves runs and ends gradual restores. */
    public static void run(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        for (SchedulerInput input : tick.inputs()) {
            if (input instanceof ZoneEvacuationRequested requested) {
                evacuate(tick, requested.zone());
            } else if (input instanceof ZoneEvacuationWithdrawn withdrawn) {
                restore(tick, withdrawn.zone());
            }
        }
        for (ZoneEvacuationRow row : world.zoneEvacuations().rows()) {
            if (row.isRestoreOver(tick.nowMs())) {
                world.zoneEvacuations().remove(row.zone());
            }
        }
        CheckpointMoves.run(tick);
    }

    private static void evacuate(SchedulerTick tick, String zone) {
        SchedulerWorld world = tick.world();
        if (world.zoneEvacuations().find(zone).filter(ZoneEvacuationRow::isEvacuated).isPresent()) {
            return;
        }
        world.zoneEvacuations().put(zone, ZoneEvacuationRow.requested(zone, tick.nowMs()));
        int executors = 0;
        int unanswered = 0;
        for (ExecutorRow row : world.executors().rows()) {
            if (ZoneEvacuations.zoneOf(world, row).equals(zone)) {
                executors++;
                unanswered += stopUnansweredStarts(tick, row.id());
            }
        }
        String fields = " executors=" + executors + " unanswered_starts=" + unanswered;
        tick.log("zone-evacuated", "zone=" + zone + fields);
        tick.count("zone-evacuated");
    }

    /**
     * Sends an order to stop after each order to start that has no answer yet; returns their
     * number. The runs stay as they are: the answer to the order to start, or its absence, and the
     * executor's lists tell what became of them.
     */
    private static int stopUnansweredStarts(SchedulerTick tick, String executor) {
        int stopped = 0;
        if (Authority.mayOrderExecutors(tick)) {
            for (RunRow run : tick.world().runs().group(executor)) {
                if (run.stage() == RunStage.SENT) {
                    RunLifecycle.requestStopOfUnknownRun(tick, executor, run.task(), run.run());
                    stopped++;
                }
            }
        }
        return stopped;
    }

    private static void restore(SchedulerTick tick, String zone) {
        SchedulerWorld world = tick.world();
        if (world.zoneEvacuations().find(zone).filter(ZoneEvacuationRow::isEvacuated).isEmpty()) {
            return;
        }
        world.zoneEvacuations().update(zone, row -> row.asRestoring(tick.nowMs()));
        tick.log("zone-restored", "zone=" + zone);
        tick.count("zone-restored");
    }
}
