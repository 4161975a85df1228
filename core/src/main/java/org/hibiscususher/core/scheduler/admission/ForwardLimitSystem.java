package org.hibiscususher.core.scheduler.admission;

import java.util.Optional;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.job.OwnerLoad;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ForwardAnswered;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ForwardFailed;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Measure;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.ForwardLimitRow;
import org.hibiscususher.core.scheduler.world.PendingRequestRow;
import org.hibiscususher.core.scheduler.world.PendingRequestStage;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TeamRejectionRow;

/** Adjusts the limit of unanswered submissions to the load that the owner reports. */
public final class ForwardLimitSystem {
    /**
     * Time without an answer after which a failed forward counts as not answered in time, in
     * milliseconds; a little less than the time-out of the link. One that fails sooner was on a
     * connection that broke, which says nothing about the load.
     */
    private static final long UNANSWERED_MS = 1_400;

    private ForwardLimitSystem() {}

    /** Follows the owner, and applies the outcomes of forwarded requests. */
    public static void run(SchedulerTick tick) {
        followOwner(tick);
        tick.world().teamRejections().removeIf(row -> row.untilMs() <= tick.nowMs());
        int unanswered = UnansweredForwards.count(tick.world()).total();
        for (ForwardAnswered answered : tick.inputs(ForwardAnswered.class)) {
            Optional<PendingRequestRow> row =
                    findForwarded(tick.world(), answered.callId())
                            .filter(PendingRequestRow::isSubmission);
            if (row.isPresent()) {
                onAnswered(tick, row.get(), answered.response(), unanswered);
                unanswered--;
            }
        }
        tick.forEachInput(
                ForwardFailed.class,
                failed ->
                        findForwarded(tick.world(), failed.callId())
                                .filter(row -> failed.maybeReceived())
                                .ifPresent(row -> onFailed(tick, row)));
    }

    /** Starts anew with each owner, whose load is not known yet. */
    private static void followOwner(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        Optional<StoredRecord.Owner> owner = world.ownership().get().ownership().owner();
        if (owner.equals(world.forwardLimit().get().owner())) {
            return;
        }
        world.teamRejections().clear();
        if (owner.isPresent()) {
            world.forwardLimit().set(ForwardLimitRow.initial(owner, tick.nowMs()));
        }
    }

    /** Returns the row of a request that was forwarded to the present owner. */
    private static Optional<PendingRequestRow> findForwarded(SchedulerWorld world, long callId) {
        long sinceMs = world.forwardLimit().get().sinceMs();
        return world.pendingRequests()
                .find(callId)
                .filter(row -> row.stage() == PendingRequestStage.FORWARDED)
                .filter(row -> row.waitingSinceMs() >= sinceMs);
    }

    /**
     * Applies the answer to a submission.
     *
     * @param unanswered number of unanswered submissions, with this one
     */
    private static void onAnswered(
            SchedulerTick tick, PendingRequestRow forwarded, JobResponse response, int unanswered) {
        ForwardLimitRow row = tick.world().forwardLimit().get();
        tick.world().forwardLimit().set(row.withRecent(row.recent().withAnswer(tick.nowMs())));
        response.ownerLoad().ifPresent(load -> onLoad(tick, load, unanswered));
        extendRefusal(tick, forwarded, response);
    }

    private static void onLoad(SchedulerTick tick, OwnerLoad load, int unanswered) {
        ForwardLimitRow before = tick.world().forwardLimit().get();
        adjust(
                tick,
                ForwardLimit.afterAnswer(before, load.queueMs(), unanswered, tick.nowMs()),
                "cause=queue queue_ms=" + load.queueMs() + " unanswered=" + unanswered);
        tick.emit(new Measure("forward.queue", load.queueMs()));
        tick.emit(new Measure("forward.limit", tick.world().forwardLimit().get().limit()));
    }

    private static void onFailed(SchedulerTick tick, PendingRequestRow forwarded) {
        long waitedMs = tick.nowMs() - forwarded.waitingSinceMs();
        if (waitedMs >= UNANSWERED_MS) {
            ForwardLimitRow before = tick.world().forwardLimit().get();
            adjust(
                    tick,
                    ForwardLimit.afterTimeout(before, tick.nowMs()),
                    "cause=unanswered waited_ms=" + waitedMs);
        }
    }

    /** Sets the limit, and logs a reduction. */
    private static void adjust(SchedulerTick tick, ForwardLimitRow row, String cause) {
        int before = tick.world().forwardLimit().get().limit();
        tick.world().forwardLimit().set(row);
        if (row.limit() < before) {
            tick.log("forward-limit", "limit=" + row.limit() + " before=" + before + " " + cause);
        }
    }

    /** Keeps a refusal that the owner extends to further submissions of the team. */
    private static void extendRefusal(
            SchedulerTick tick, PendingRequestRow forwarded, JobResponse response) {
        OwnerLoad load = response.ownerLoad().orElse(OwnerLoad.ofQueue(0));
        if (response.kind() != JobResponseKind.OVERLOADED || load.rejectMs() == 0) {
            return;
        }
        long forMs = Math.min(OwnerLoad.MAX_REJECT_MS, load.rejectMs());
        EntrySubmission.of(tick.world(), forwarded.request())
                .teamQueue()
                .map(
                        key ->
                                new TeamRejectionRow(
                                        key,
                                        load.minWorkCoreMs(),
                                        tick.nowMs() + forMs,
                                        tick.nowMs() + response.retryAfterMs()))
                .ifPresent(row -> keepWider(tick.world(), row, tick.nowMs()));
    }

    /** Keeps a refusal unless a valid one covers more submissions. */
    private static void keepWider(SchedulerWorld world, TeamRejectionRow row, long nowMs) {
        boolean covered =
                world.teamRejections()
                        .find(row.key())
                        .filter(known -> known.untilMs() > nowMs)
                        .filter(known -> known.minWorkCoreMs() < row.minWorkCoreMs())
                        .isPresent();
        if (!covered) {
            world.teamRejections().put(row.key(), row);
        }
    }
}
