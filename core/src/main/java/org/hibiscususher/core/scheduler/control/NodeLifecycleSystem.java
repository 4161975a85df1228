package org.hibiscususher.core.scheduler.control;

import org.hibiscususher.core.scheduler.message.SchedulerInput.ConnectionsDrained;
import org.hibiscususher.core.scheduler.message.SchedulerInput.RequestReceived;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ShutdownRequested;
import org.hibiscususher.core.scheduler.message.SchedulerInput.StoreReachabilityChanged;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.DrainConnections;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.ReportReadiness;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Terminate;
import org.hibiscususher.core.scheduler.world.ConnectionStage;
import org.hibiscususher.core.scheduler.world.NodeStateRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TermRow;
import org.hibiscususher.core.scheduler.world.TermStage;

/**
 * Reports to the load balancer whether this process accepts connections, and shuts it down.
 *
 * <p>A shutdown has three steps. The process reports that it is not ready and, if it is the owner,
 * releases the ownership. Once the balancer has had time to notice, the connections of callers are
 * drained; until then the balancer would still send connections to a process that no longer
 * listens. When every request is answered and the ownership is released, the process terminates.
 */
final class NodeLifecycleSystem {
    /**
     * Time within which the balancer is certain to notice that the process is not ready, in
     * milliseconds.
     */
    private static final long BALANCER_NOTICE_MS = 2_600;

    private NodeLifecycleSystem() {}

    static void run(SchedulerTick tick) {
        applyStoreReachability(tick);
        applyShutdownRequest(tick);
        releaseOwnership(tick);
        reportReadiness(tick);
        drainConnections(tick);
        terminateIfDone(tick);
    }

    private static void applyStoreReachability(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        for (StoreReachabilityChanged change : tick.inputs(StoreReachabilityChanged.class)) {
            tick.log(
                    change.reachable() ? "store-reached" : "store-lost",
                    "stage=" + world.term().get().stage());
            update(tick, world.nodeState().get().withStoreReachable(change.reachable()));
        }
    }

    /** Begins the shutdown if it is requested for the first time. */
    private static void applyShutdownRequest(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        NodeStateRow node = world.nodeState().get();
        if (!node.isStopping() && !tick.inputs(ShutdownRequested.class).isEmpty()) {
            tick.log("stop-asked", "owner=" + world.term().get().stage().isOwner());
            update(tick, node.withShutdownRequested(tick.nowMs()));
        }
    }

    /**
     * Lets a stopping owner store its last changes and release the ownership with the next commit.
     *
     * <p>A takeover that is under way is finished first: only then does the process know which
     * tasks to report as unsettled.
     */
    private static void releaseOwnership(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        TermRow term = world.term().get();
        if (world.nodeState().get().isStopping() && term.stage() == TermStage.OWNING) {
            world.term().set(term.withStage(TermStage.RELEASING));
        }
    }

    private static void reportReadiness(SchedulerTick tick) {
        NodeStateRow node = tick.world().nodeState().get();
        boolean ready = !node.isStopping() && tick.world().ownership().get().known();
        if (ready != node.ready()) {
            tick.emit(new ReportReadiness(ready));
            update(tick, node.withReady(ready));
        }
    }

    /** Starts to drain the connections once the balancer has noticed, and applies the end. */
    private static void drainConnections(SchedulerTick tick) {
        NodeStateRow node = tick.world().nodeState().get();
        boolean noticed =
                node.isStopping() && tick.nowMs() - node.shutdownRequestedMs() > BALANCER_NOTICE_MS;
        if (noticed && node.connections() == ConnectionStage.OPEN) {
            tick.log("drain", "owner=" + tick.world().term().get().isScheduling());
            tick.emit(new DrainConnections());
            update(tick, node.withConnections(ConnectionStage.DRAINING));
        } else if (!tick.inputs(ConnectionsDrained.class).isEmpty()) {
            update(tick, node.withConnections(ConnectionStage.DRAINED));
        }
    }

    private static void terminateIfDone(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        TermRow term = world.term().get();
        boolean drained = world.nodeState().get().connections() == ConnectionStage.DRAINED;
        boolean released = term.stage() == TermStage.FOLLOWING && !term.retainsTables();
        if (drained && released && !hasOpenRequests(tick)) {
            tick.emit(new Terminate());
        }
    }

    /** Returns whether a request waits, which other entries may forward until the process ends. */
    private static boolean hasOpenRequests(SchedulerTick tick) {
        return !tick.world().pendingRequests().rows().isEmpty()
                || !tick.inputs(RequestReceived.class).isEmpty();
    }

    private static void update(SchedulerTick tick, NodeStateRow node) {
        tick.world().nodeState().set(node);
    }
}
