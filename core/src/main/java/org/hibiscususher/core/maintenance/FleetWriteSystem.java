package org.hibiscususher.core.maintenance;

import org.hibiscususher.core.message.FleetRecord;
import org.hibiscususher.core.message.Output.SwapRecord;
import org.hibiscususher.core.world.StoreCallRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/** Writes the records about hosts that this tick has drafted, each by one compare-and-swap. */
public final class FleetWriteSystem {
    private FleetWriteSystem() {}

    /** Writes the drafts. */
    public static void run(Tick tick) {
        MaintenanceSchedule.complete(tick);
        World world = tick.world();
        for (FleetRecord draft : world.fleetDrafts().rows()) {
            long callId = tick.nextCallId();
            world.fleetCalls().put(draft.key(), new StoreCallRow(callId, tick.nowMs()));
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
