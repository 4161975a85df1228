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

/** Ends the part of an owner. */
public final class StepDown {
    private StepDown() {}

    /** Forgets what only an owner keeps; requests that wait for the store get no certain answer. */
    public static void run(SchedulerTick tick, String reason) {
        SchedulerWorld world = tick.world();
        TermRow term = world.term().get();
        tick.log(
                "owner-lost",
                "generation=" + term.generation() + " fence=" + term.fence() + " reason=" + reason);
        tick.count("owner.lost");
        for (PendingRequestRow call : world.pendingRequests().rows()) {
            if (call.stage() == PendingRequestStage.AWAITING_STORE) {
                tick.emit(
                        new Respond(
                                call.callId(),
                                JobResponse.refusal(
                                        JobResponseKind.UNKNOWN, 0, "the owner has changed")));
                world.pendingRequests().remove(call.callId());
            }
        }
        world.clearOwnerTables();
        world.term().set(TermRow.initial());
        tick.emit(new WatchExecutors(false));
    }
}
