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
 * Passes the ownership on while the store turns its owner away.
 *
 * <p>Answers a store that serves the other entries: without an offer, callers are refused until the
 * owner's lease has ended. An entry that reaches the store claims the ownership in place of the one
 * that offers it, and then asks that one to give no more orders.
 */
public final class HandoverSystem {
    /** Time out of reach of the store after which the ownership is offered, in milliseconds. */
    private static final long OFFER_AFTER_MS = 150;

    /** Time between two offers, in milliseconds. */
    private static final long OFFER_EVERY_MS = 200;

    private HandoverSystem() {}

    /** Takes in offers, then offers the own term if that is due. */
    public static void run(SchedulerTick tick) {
        for (HandoverOffered offered : tick.inputs(HandoverOffered.class)) {
            take(tick, offered);
        }
        SchedulerWorld world = tick.world();
        HandoverRow row = world.handover().get();
        NodeStateRow node = world.nodeState().get();
        boolean away = !node.storeReachable() && world.term().get().stage() == TermStage.OWNING;
        if (!away) {
            if (row.unreachableSinceMs() != 0) {
                world.handover().set(new HandoverRow(0, 0, 0, row.acceptedGeneration()));
            }
        } else if (row.unreachableSinceMs() == 0) {
            world.handover().set(new HandoverRow(tick.nowMs(), 0, 0, row.acceptedGeneration()));
        } else if (tick.nowMs() - row.unreachableSinceMs() >= OFFER_AFTER_MS
                && tick.nowMs() - row.lastOfferMs() >= OFFER_EVERY_MS) {
            offer(tick, row);
        }
    }

    private static void offer(SchedulerTick tick, HandoverRow row) {
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

    private static void take(SchedulerTick tick, HandoverOffered offered) {
        SchedulerWorld world = tick.world();
        tick.emit(new Respond(offered.callId(), JobResponse.of(JobResponseKind.ACCEPTED)));
        long seen =
                world.ownership()
                        .get()
                        .ownership()
                        .term()
                        .map(StoredRecord.Term::generation)
                        .orElse(0L);
        boolean free =
                world.term().get().stage() == TermStage.FOLLOWING
                        && world.nodeState().get().storeReachable()
                        && world.nodeState().get().shutdownRequestedMs() == 0
                        && seen == offered.generation();
        tick.log("offer-received", "generation=" + offered.generation() + " taken=" + free);
        if (free) {
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

    /** Returns whether the owner of the term that this process sees has offered it. */
    static boolean isHandoverOffered(SchedulerWorld world) {
        long taken = world.handover().get().acceptedGeneration();
        return taken != 0
                && world.ownership()
                        .get()
                        .ownership()
                        .term()
                        .filter(t -> t.generation() == taken)
                        .isPresent();
    }
}
