package org.hibiscususher.core.maintenance;

import org.hibiscususher.core.message.FleetRecord;
import org.hibiscususher.core.message.Output.SwapRecord;
import org.hibiscususher.core.world.StoreCallRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/**
 * Writes the records about hosts that were drafted in this tick, each by one compare-and-swap.
 *
 * <p>If another process has written the record since, the swap fails and the decision is made again
 * on the newer record.
 */
public final class FleetWriteSystem {
    private FleetWriteSystem() {}

    /** Sends the drafts to the store and clears them; ends the step of the maintenance systems. */
    public static void run(Tick tick) {
        MaintenanceSchedule.complete(tick);
        World world = tick.world();
        for (FleetRecord draft : world.fleetDrafts().rows()) {
            long callId = tick.nextCallId();
            world.fleetWrites().put(draft.key(), new StoreCallRow(callId, tick.nowMs()));
            tick.emit(
                    new SwapRecord(
                            callId, draft.key(), draft.record().version(), draft.record().value()));
            tick.count("fleet.write");
        }
        if (world.fleetDrafts().size() > 0) {
            world.fleetDrafts().clear();
        }
    }
}
