package org.hibiscususher.core.scheduler.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.job.OwnerLoad;
import org.hibiscususher.core.scheduler.admission.ForwardAdmission;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ForwardAnswered;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ForwardFailed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.RequestReceived;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Forward;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.term.Authority;
import org.hibiscususher.core.scheduler.world.PendingRequestRow;
import org.hibiscususher.core.scheduler.world.PendingRequestStage;
import org.hibiscususher.core.scheduler.world.RequestQueueRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;

/**
 * Routes callers' requests: the owner decides on them, every other entry forwards them to the owner
 * and passes the outcome on.
 */
public final class JobRequestSystem {
    /** How often a request may be forwarded; ends loops while entries disagree on the owner. */
    private static final int MAX_HOPS = 3;

    /** Longest time for which a request waits until there is an owner, in milliseconds. */
    private static final long OWNER_WAIT_MS = 120;

    /**
     * Longest time for which a request that may have taken effect waits until there is an owner, in
     * milliseconds. A later owner can tell its outcome, a rejection can't.
     */
    private static final long UNCERTAIN_OWNER_WAIT_MS = 500;

    /**
     * Time within which a request is answered whatever other entries do, in milliseconds; less than
     * the time for which callers wait.
     */
    private static final long ANSWER_WITHIN_MS = 2_700;

    private JobRequestSystem() {}

    /**
     * Handles new requests, those that wait for an owner, and the outcomes of those that were
     * forwarded. Answers come first, because they make room for further requests at the owner.
     */
    public static void run(SchedulerTick tick) {
        List<RequestReceived> arrived = tick.inputs(RequestReceived.class);
        RequestQueueRow queue = tick.world().requestQueue().get();
        tick.world().requestQueue().set(queue.nextTick(oldestAgeMs(arrived, tick.nowMs())));
        passOnAnswers(tick);
        routeWaiting(tick);
        tick.forEachInput(
                ForwardFailed.class,
                failed ->
                        takeForwarded(tick, failed.callId())
                                .ifPresent(pending -> routeAgain(tick, pending, failed)));
        arrived.forEach(received -> routeOrAnswer(tick, pendingRow(received, tick.nowMs())));
        answerOverdueForwards(tick);
    }

    private static void passOnAnswers(SchedulerTick tick) {
        tick.forEachInput(
                ForwardAnswered.class,
                answered ->
                        takeForwarded(tick, answered.callId())
                                .ifPresent(pending -> passOn(tick, pending, answered.response())));
    }

    private static void routeWaiting(SchedulerTick tick) {
        for (PendingRequestRow pending : tick.world().pendingRequests().rows()) {
            if (pending.stage() == PendingRequestStage.AWAITING_OWNER) {
                tick.world().pendingRequests().remove(pending.callId());
                routeOrAnswer(tick, pending);
            }
        }
    }

    private static PendingRequestRow pendingRow(RequestReceived received, long nowMs) {
        return PendingRequestRow.received(
                received.callId(), received.request(), received.arrivedMs(), nowMs);
    }

    /** Returns for how long the oldest of the requests has waited for this tick. */
    private static long oldestAgeMs(List<RequestReceived> arrived, long nowMs) {
        return arrived.stream().mapToLong(r -> nowMs - r.arrivedMs()).reduce(0, Math::max);
    }

    /** Routes a request; one whose handling fails is answered that its outcome is unknown. */
    private static void routeOrAnswer(SchedulerTick tick, PendingRequestRow pending) {
        if (!tick.attempt("request", () -> route(tick, pending))) {
            tick.world().pendingRequests().remove(pending.callId());
            JobRequestRejection.reject(tick, pending, JobResponseKind.UNKNOWN, "internal-error");
        }
    }

    /** Removes and returns the row of a forwarded request; empty if it was answered already. */
    private static Optional<PendingRequestRow> takeForwarded(SchedulerTick tick, long callId) {
        Optional<PendingRequestRow> forwarded =
                tick.world()
                        .pendingRequests()
                        .find(callId)
                        .filter(p -> p.stage() == PendingRequestStage.FORWARDED);
        forwarded.ifPresent(p -> tick.world().pendingRequests().remove(callId));
        return forwarded;
    }

    /** Passes on the response of another entry, which doesn't know of attempts at other entries. */
    private static void passOn(
            SchedulerTick tick, PendingRequestRow pending, JobResponse response) {
        if (response.kind().deniesEffect()) {
            JobRequestRejection.reject(
                    tick,
                    pending.withOwnerLoad(response.ownerLoad()),
                    response.kind(),
                    response.reason(),
                    response.retryAfterMs());
        } else {
            tick.emit(pending.respond(response));
        }
    }

    /**
     * Routes a request whose forwarding failed once more; every request may be repeated. It is
     * answered at once if the owner is known to be down, or if attempts or time are used up.
     */
    private static void routeAgain(
            SchedulerTick tick, PendingRequestRow forwarded, ForwardFailed failed) {
        PendingRequestRow pending = forwarded.awaitingOwner(failed.maybeReceived(), tick.nowMs());
        tick.log(
                "forward-failed",
                "address=" + failed.address() + " sent=" + failed.maybeReceived());
        tick.count("forward-failed");
        boolean ownerDown = !failed.maybeReceived() && isOwner(tick, failed.address());
        if (ownerDown || pending.request().hops() >= MAX_HOPS || isOverdue(tick, pending)) {
            JobRequestRejection.reject(tick, pending, JobResponseKind.UNAVAILABLE, "owner-away");
        } else {
            route(tick, pending);
        }
    }

    /** Returns whether the owner, as last read from the store, has an address. */
    private static boolean isOwner(SchedulerTick tick, String address) {
        return tick.world()
                .ownership()
                .get()
                .ownership()
                .owner()
                .map(o -> o.address().equals(address))
                .orElse(false);
    }

    private static boolean isOverdue(SchedulerTick tick, PendingRequestRow pending) {
        return tick.nowMs() - pending.receivedMs() > ANSWER_WITHIN_MS;
    }

    /** Answers callers whose requests no other entry has answered in time. */
    private static void answerOverdueForwards(SchedulerTick tick) {
        for (PendingRequestRow pending : tick.world().pendingRequests().rows()) {
            if (pending.stage() == PendingRequestStage.FORWARDED && isOverdue(tick, pending)) {
                tick.world().pendingRequests().remove(pending.callId());
                JobRequestRejection.reject(tick, pending, JobResponseKind.UNKNOWN, "owner-silent");
            }
        }
    }

    /** Forwards a request, unless the owner could not decide on it in time. */
    private static void forward(SchedulerTick tick, PendingRequestRow pending, String address) {
        ForwardAdmission.findRefusal(tick, pending)
                .ifPresentOrElse(
                        refusal -> refuse(tick, pending, refusal),
                        () -> send(tick, pending, address));
    }

    private static void refuse(SchedulerTick tick, PendingRequestRow pending, JobResponse refusal) {
        JobRequestRejection.reject(
                tick, pending, refusal.kind(), refusal.reason(), refusal.retryAfterMs());
    }

    /** Sends a request to another entry and keeps it until its outcome is known. */
    private static void send(SchedulerTick tick, PendingRequestRow pending, String address) {
        String team = ForwardAdmission.teamOf(tick.world(), pending.request());
        PendingRequestRow forwarded = pending.asForwarded(team, tick.nowMs());
        tick.world().pendingRequests().put(forwarded.callId(), forwarded);
        tick.emit(new Forward(forwarded.callId(), address, forwarded.request()));
    }

    /** Decides on a request, forwards it, rejects it, or keeps it until there is an owner. */
    private static void route(SchedulerTick tick, PendingRequestRow pending) {
        SchedulerWorld world = tick.world();
        Optional<StoredRecord.Owner> owner = world.ownership().get().ownership().owner();
        boolean selfOrNone = owner.map(o -> o.node().equals(world.settings().node())).orElse(true);
        if (Authority.mayDecideRequests(tick)) {
            decide(tick, pending);
        } else if (!selfOrNone
                && !world.term().get().stage().isOwner()
                && pending.request().hops() < MAX_HOPS) {
            forward(tick, pending, owner.get().address());
        } else if (selfOrNone
                && pending.request().hops() == 0
                && !world.nodeState().get().storeReachable()) {
            forward(tick, pending, otherEntry(world, pending));
        } else {
            awaitOwner(tick, pending);
        }
    }

    /** Decides on a request as the owner, which tells its load with the response. */
    private static void decide(SchedulerTick tick, PendingRequestRow pending) {
        RequestQueueRow queue = tick.world().requestQueue().get();
        if (pending.isSubmission()) {
            tick.world().requestQueue().set(queue.afterDecision());
        }
        OwnerLoad load = OwnerLoad.ofQueue(queue.queueMs());
        JobRequestDecision.handle(tick, pending.withOwnerLoad(Optional.of(load)));
    }

    /** Keeps a request until there is an owner that can answer it, or rejects it as overdue. */
    static void awaitOwner(SchedulerTick tick, PendingRequestRow pending) {
        if (tick.nowMs() - pending.waitingSinceMs() > ownerWaitMs(pending)) {
            JobRequestRejection.reject(tick, pending, JobResponseKind.UNAVAILABLE, "no-owner");
        } else {
            tick.world().pendingRequests().put(pending.callId(), pending);
        }
    }

    private static long ownerWaitMs(PendingRequestRow pending) {
        return pending.uncertain() ? UNCERTAIN_OWNER_WAIT_MS : OWNER_WAIT_MS;
    }

    /**
     * Returns the address of another entry. It may know the owner, which this entry can't read from
     * the store. Without other entries, returns the own address.
     */
    private static String otherEntry(SchedulerWorld world, PendingRequestRow pending) {
        List<String> seeds = new ArrayList<>(world.settings().seeds());
        seeds.remove(world.settings().address());
        return seeds.isEmpty()
                ? world.settings().address()
                : seeds.get((int) (pending.callId() % seeds.size()));
    }
}
