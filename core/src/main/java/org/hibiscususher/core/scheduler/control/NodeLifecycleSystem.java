package org.hibiscususher.core.scheduler.control;

import org.hibiscususher.core.scheduler.message.SchedulerInput.ShutdownRequested;
import org.hibiscususher.core.scheduler.message.SchedulerInput.StoreReachabilityChanged;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.ReportReadiness;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Terminate;
import org.hibiscususher.core.scheduler.world.NodeStateRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TermRow;
import org.hibiscususher.core.scheduler.world.TermStage;

/** Tells the balancer whether to send connections, and ends the process in good order. */
final class NodeLifecycleSystem {
    /** Time after which the balancer has surely heard that the process stops, in milliseconds. */
    private static final long BALANCER_MS = 2_600;

    private NodeLifecycleSystem() {}

    static void run(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        NodeStateRow node = world.nodeState().get();
        if (!tick.inputs(ShutdownRequested.class).isEmpty() && node.shutdownRequestedMs() == 0) {
            tick.log("stop-asked", "owner=" + world.term().get().stage().isOwner());
            node = new NodeStateRow(node.ready(), node.storeReachable(), tick.nowMs());
            release(world);
        }
        boolean stopping = node.shutdownRequestedMs() != 0;
        boolean ready = !stopping && world.ownership().get().known();
        if (ready != node.ready()) {
            tick.emit(new ReportReadiness(ready));
        }
        boolean reached = node.storeReachable();
        for (StoreReachabilityChanged contact : tick.inputs(StoreReachabilityChanged.class)) {
            reached = contact.reachable();
            tick.log(
                    reached ? "store-reached" : "store-lost",
                    "stage=" + world.term().get().stage());
        }
        world.nodeState().set(new NodeStateRow(ready, reached, node.shutdownRequestedMs()));
        boolean owner = world.term().get().isScheduling();
        if (stopping && !owner && tick.nowMs() - node.shutdownRequestedMs() > BALANCER_MS) {
            tick.emit(new Terminate());
        }
    }

    private static void release(SchedulerWorld world) {
        TermRow term = world.term().get();
        if (term.stage() == TermStage.OWNING) {
            world.term().set(term.withStage(TermStage.RELEASING));
        }
    }
}
