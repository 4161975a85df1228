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

/**
 * Reports to the load balancer whether this process accepts connections, and shuts it down.
 *
 * <p>On a shutdown request the process first reports that it is not ready and, if it is the owner,
 * releases the ownership. It terminates only after the balancer has had time to notice; otherwise
 * the balancer would still send connections to a process that no longer listens.
 */
final class NodeLifecycleSystem {
    /**
     * Time within which the balancer is certain to notice that the process is not ready, in
     * milliseconds.
     */
    private static final long BALANCER_NOTICE_MS = 2_600;

    private NodeLifecycleSystem() {}

    static void run(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        NodeStateRow node = world.nodeState().get();
        if (!tick.inputs(ShutdownRequested.class).isEmpty() && node.shutdownRequestedMs() == 0) {
            tick.log("stop-asked", "owner=" + world.term().get().stage().isOwner());
            node = new NodeStateRow(node.ready(), node.storeReachable(), tick.nowMs());
            releaseOwnership(world);
        }
        boolean stopping = node.shutdownRequestedMs() != 0;
        boolean ready = !stopping && world.ownership().get().known();
        if (ready != node.ready()) {
            tick.emit(new ReportReadiness(ready));
        }
        boolean storeReachable = node.storeReachable();
        for (StoreReachabilityChanged change : tick.inputs(StoreReachabilityChanged.class)) {
            storeReachable = change.reachable();
            tick.log(
                    storeReachable ? "store-reached" : "store-lost",
                    "stage=" + world.term().get().stage());
        }
        world.nodeState().set(new NodeStateRow(ready, storeReachable, node.shutdownRequestedMs()));
        boolean owner = world.term().get().isScheduling();
        if (stopping && !owner && tick.nowMs() - node.shutdownRequestedMs() > BALANCER_NOTICE_MS) {
            tick.emit(new Terminate());
        }
    }

    /** Lets the owner store its last changes and release the ownership with the next commit. */
    private static void releaseOwnership(SchedulerWorld world) {
        TermRow term = world.term().get();
        if (term.stage() == TermStage.OWNING) {
            world.term().set(term.withStage(TermStage.RELEASING));
        }
    }
}
