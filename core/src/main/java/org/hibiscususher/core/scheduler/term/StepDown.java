package org.hibiscususher.core.scheduler.term;

import org.hibiscususher.core.scheduler.message.SchedulerOutput.WatchExecutors;
import org.hibiscususher.core.scheduler.world.PendingRequestRow;
import org.hibiscususher.core.scheduler.world.PendingRequestStage;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TermRow;

/** Ends this process's ownership of the scheduling. */
public final class StepDown {
    private StepDown() {}

    /**
     * Clears the tables that only an owner keeps and returns to the stage FOLLOWING.
     *
     * <p>Requests that wait for a commit are routed to the later owner, which can tell whether the
     * commit took effect.
     *
     * @param reason why the ownership ended, for the log
     */
    public static void run(SchedulerTick tick, String reason) {
        SchedulerWorld world = tick.world();
        TermRow term = world.term().get();
        tick.log(
                "owner-lost",
                "generation=" + term.generation() + " fence=" + term.fence() + " reason=" + reason);
        tick.count("owner.lost");
        releaseRequests(tick);
        world.clearOwnerTables();
        world.term().set(TermRow.initial());
        tick.emit(new WatchExecutors(false));
    }

    /** Returns the requests that wait for the store to those that wait for an owner. */
    private static void releaseRequests(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        for (PendingRequestRow request : world.pendingRequests().rows()) {
            if (request.stage() == PendingRequestStage.AWAITING_STORE) {
                boolean uncertain = world.isJobCommitInFlight(request.job());
                world.pendingRequests()
                        .put(request.callId(), request.awaitingOwner(uncertain, tick.nowMs()));
            }
        }
    }
}
