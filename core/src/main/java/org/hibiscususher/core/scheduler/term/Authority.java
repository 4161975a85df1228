package org.hibiscususher.core.scheduler.term;

import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.TermRow;
import org.hibiscususher.core.scheduler.world.TermStage;

/** Tells what an owner may do, by the age of its last contact with the store. */
public final class Authority {
    private Authority() {}

    /**
     * Returns whether the process may give orders to executors.
     *
     * <p>An owner whose lease could not be renewed goes on for the time of grace: executors refuse
     * its orders once a later owner has reached them, and a later owner waits for that time before
     * it starts what an executor out of its reach may run.
     */
    public static boolean mayOrderExecutors(SchedulerTick tick) {
        TermRow term = tick.world().term().get();
        long graceMs = tick.world().settings().timing().ownerGraceMs();
        return term.isScheduling() && tick.nowMs() < term.validUntilMs() + graceMs;
    }

    /** Returns whether the process may start runs. */
    public static boolean mayStartRuns(SchedulerTick tick) {
        return mayOrderExecutors(tick)
                && tick.world().term().get().stage() != TermStage.RELEASING
                && tick.world().nodeState().get().shutdownRequestedMs() == 0;
    }

    /** Returns whether the process may give orders for hosts. */
    public static boolean mayOrderHosts(SchedulerTick tick) {
        TermRow term = tick.world().term().get();
        return term.stage() == TermStage.OWNING
                && tick.world().nodeState().get().shutdownRequestedMs() == 0
                && tick.nowMs() < term.validUntilMs();
    }

    /** Returns whether the process decides on callers' requests. */
    public static boolean mayDecideRequests(SchedulerTick tick) {
        TermRow term = tick.world().term().get();
        return term.isScheduling() && term.stage() != TermStage.RELEASING;
    }
}
