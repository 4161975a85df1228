package org.hibiscususher.core.scheduler.term;

import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Respond;
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
     * <p>Requests that wait for a commit are answered as UNKNOWN: the commit may have taken effect
     * without this process learning of it.
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
        for (PendingRequestRow request : world.pendingRequests().rows()) {
            if (request.stage() == PendingRequestStage.AWAITING_STORE) {
                tick.emit(
                        new Respond(
                                request.callId(),
                                JobResponse.refusal(
                                        JobResponseKind.UNKNOWN, 0, "the owner has changed")));
                world.pendingRequests().remove(request.callId());
            }
        }
        world.clearOwnerTables();
        world.term().set(TermRow.initial());
        tick.emit(new WatchExecutors(false));
    }
}
