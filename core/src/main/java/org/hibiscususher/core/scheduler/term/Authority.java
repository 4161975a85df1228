package org.hibiscususher.core.scheduler.term;

import org.hibiscususher.core.scheduler.message.OrderValidity;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerTiming;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TermRow;
import org.hibiscususher.core.scheduler.world.TermStage;

/**
 * Decides which actions the owner may take, depending on its stage and on how long ago it last
 * renewed its lease in the store.
 *
 * <p>An owner that can't reach the store may already have been replaced without knowing it. The
 * limits keep it from acting on the same tasks and hosts as its successor.
 */
public final class Authority {
    private Authority() {}

    /**
     * Returns whether the process may send orders and heartbeats to executors.
     *
     * <p>An owner whose lease could not be renewed continues for a grace period, in which a later
     * owner may be active as well. Two rules keep a task from running twice: an executor that a
     * later owner has reached rejects the orders of the earlier one by their fence, and a later
     * owner waits for the grace period before it restarts tasks of executors that it can't reach.
     */
    public static boolean mayOrderExecutors(SchedulerTick tick) {
        TermRow term = tick.world().term().get();
        long graceMs = tick.world().settings().timing().ownerGraceMs();
        return term.isScheduling() && tick.nowMs() < term.validUntilMs() + graceMs;
    }

    /**
     * Returns whether the process may start runs: as {@link #mayOrderExecutors}, but not while it
     * releases the ownership or shuts down.
     */
    public static boolean mayStartRuns(SchedulerTick tick) {
        return mayOrderExecutors(tick)
                && tick.world().term().get().stage() != TermStage.RELEASING
                && !tick.world().nodeState().get().isStopping();
    }

    /**
     * Returns whether the process may order host moves and maintenance: only while its lease is
     * certainly valid, without a grace period.
     */
    public static boolean mayOrderHosts(SchedulerTick tick) {
        TermRow term = tick.world().term().get();
        return term.stage() == TermStage.OWNING
                && !tick.world().nodeState().get().isStopping()
                && tick.nowMs() < term.validUntilMs();
    }

    /** Returns until when orders for hosts that are decided on in this tick may be sent. */
    public static OrderValidity hostOrderValidity(SchedulerTick tick) {
        return validUntil(tick, tick.world().term().get().validUntilMs());
    }

    /**
     * Returns until when orders to start runs that are decided on in this tick may be sent: while
     * the executor may carry them out, and no longer than the owner may order executors.
     */
    public static OrderValidity startValidity(SchedulerTick tick) {
        SchedulerTiming timing = tick.world().settings().timing();
        long authorityEndMs = tick.world().term().get().validUntilMs() + timing.ownerGraceMs();
        return validUntil(tick, Math.min(tick.nowMs() + timing.startValidMs(), authorityEndMs));
    }

    private static OrderValidity validUntil(SchedulerTick tick, long untilMs) {
        return new OrderValidity(untilMs, tick.wallMs() + untilMs - tick.nowMs());
    }

    /**
     * Returns whether the process may answer that a job is unknown, or how many are waiting: only
     * while its lease is certainly valid, since a later owner may have accepted jobs meanwhile.
     */
    public static boolean mayDenyJobs(SchedulerTick tick) {
        return tick.nowMs() < tick.world().term().get().validUntilMs();
    }

    /**
     * Returns whether the process may take the lease of an executor for expired that it doesn't
     * reach: only while nobody else can own the scheduling. A later owner may reach the executor
     * and extend its lease, so that its runs go on.
     */
    public static boolean mayPresumeLeasesExpired(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        return tick.nowMs() < world.term().get().validUntilMs()
                && world.handover().get().offersSent() == 0;
    }

    /** Returns whether the process answers callers' requests itself instead of forwarding them. */
    public static boolean mayDecideRequests(SchedulerTick tick) {
        TermRow term = tick.world().term().get();
        return term.isScheduling() && term.stage() != TermStage.RELEASING;
    }
}
