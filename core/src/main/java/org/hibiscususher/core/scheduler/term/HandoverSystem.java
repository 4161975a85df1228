package org.hibiscususher.core.scheduler.term;

import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HandoverOffered;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.OfferHandover;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Respond;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.HandoverRow;
import org.hibiscususher.core.scheduler.world.NodeStateRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TermStage;

/**
 * Hands the ownership over to another entry while the owner can't reach the store.
 *
 * <p>Guards against an outage that affects the owner alone: without a handover, callers would be
 * rejected until the owner's lease has expired, although other entries reach the store. The owner
 * offers its term to one entry after the other. An entry that reaches the store claims the
 * ownership in place of the owner, and then asks it to send no more orders.
 */
public final class HandoverSystem {
    /** How long the store must be unreachable before the ownership is offered, in milliseconds. */
    private static final long OFFER_AFTER_MS = 150;

    /** Time between two offers, each to another entry, in milliseconds. */
    private static final long OFFER_INTERVAL_MS = 200;

    private HandoverSystem() {}

    /** Answers the offers of other entries, then sends an offer if that is due. */
    public static void run(SchedulerTick tick) {
        for (HandoverOffered offered : tick.inputs(HandoverOffered.class)) {
            applyOffer(tick, offered);
        }
        SchedulerWorld world = tick.world();
        HandoverRow row = world.handover().get();
        NodeStateRow node = world.nodeState().get();
        boolean unreachable =
                !node.storeReachable() && world.term().get().stage() == TermStage.OWNING;
        if (!unreachable) {
            if (row.unreachableSinceMs() != 0) {
                world.handover().set(new HandoverRow(0, 0, 0, row.acceptedGeneration()));
            }
        } else if (row.unreachableSinceMs() == 0) {
            world.handover().set(new HandoverRow(tick.nowMs(), 0, 0, row.acceptedGeneration()));
        } else if (tick.nowMs() - row.unreachableSinceMs() >= OFFER_AFTER_MS
                && tick.nowMs() - row.lastOfferMs() >= OFFER_INTERVAL_MS) {
            sendOffer(tick, row);
        }
    }

    private static void sendOffer(SchedulerTick tick, HandoverRow row) {
        SchedulerWorld world = tick.world();
        List<String> others = new ArrayList<>(world.settings().seeds());
        others.remove(world.settings().address());
        if (others.isEmpty()) {
            return;
        }
        String address = others.get(row.offersSent() % others.size());
        long generation = world.term().get().generation();
        world.handover()
                .set(
                        new HandoverRow(
                                row.unreachableSinceMs(),
                                tick.nowMs(),
                                row.offersSent() + 1,
                                row.acceptedGeneration()));
        tick.log(
                "owner-offered",
                "generation="
                        + generation
                        + " to="
                        + address
                        + " store_away_ms="
                        + (tick.nowMs() - row.unreachableSinceMs()));
        tick.count("owner.offered");
        tick.emit(new OfferHandover(address, generation));
    }

    private static void applyOffer(SchedulerTick tick, HandoverOffered offered) {
        SchedulerWorld world = tick.world();
        tick.emit(new Respond(offered.callId(), JobResponse.of(JobResponseKind.ACCEPTED)));
        long currentGeneration =
                world.ownership()
                        .get()
                        .ownership()
                        .term()
                        .map(StoredRecord.Term::generation)
                        .orElse(0L);
        boolean accepted =
                world.term().get().stage() == TermStage.FOLLOWING
                        && world.nodeState().get().storeReachable()
                        && !world.nodeState().get().isStopping()
                        && currentGeneration == offered.generation();
        tick.log("offer-received", "generation=" + offered.generation() + " taken=" + accepted);
        if (accepted) {
            HandoverRow row = world.handover().get();
            world.handover()
                    .set(
                            new HandoverRow(
                                    row.unreachableSinceMs(),
                                    row.lastOfferMs(),
                                    row.offersSent(),
                                    offered.generation()));
            world.term()
                    .set(
                            world.term()
                                    .get()
                                    .withClaimAt(tick.nowMs() + world.settings().claimDelayMs()));
        }
    }

    /**
     * Returns whether the current owner, as last read from the store, has offered this process its
     * term.
     */
    static boolean isHandoverOffered(SchedulerWorld world) {
        long accepted = world.handover().get().acceptedGeneration();
        return accepted != 0
                && world.ownership()
                        .get()
                        .ownership()
                        .term()
                        .filter(t -> t.generation() == accepted)
                        .isPresent();
    }
}
