package org.hibiscususher.core.scheduler.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.job.JobConfiguration;
import org.hibiscususher.core.job.JobQueue;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.job.JobTeam;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ForwardAnswered;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ForwardFailed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.RequestReceived;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Forward;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Respond;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.term.Authority;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.PendingRequestRow;
import org.hibiscususher.core.scheduler.world.PendingRequestStage;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StoreHealthRow;

/**
 * Answers callers' requests on the owner, and forwards them to the owner on every other entry.
 *
 * <p>Submissions and cancellations are answered only after their effect is stored, so that a
 * takeover can't contradict an answer already given.
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

    /** Age of an unanswered commit above which the store counts as unreachable, in milliseconds. */
    private static final long STORE_UNREACHABLE_MS = 700;

    /** When a rejected caller should try again, in milliseconds. */
    private static final long RETRY_AFTER_MS = 1_000;

    private JobRequestSystem() {}

    /**
     * Handles new requests, those that wait for an owner, and the outcomes of those that were
     * forwarded.
     */
    public static void run(SchedulerTick tick) {
        for (PendingRequestRow pending : tick.world().pendingRequests().rows()) {
            if (pending.stage() == PendingRequestStage.AWAITING_OWNER) {
                tick.world().pendingRequests().remove(pending.callId());
                route(tick, pending);
            }
        }
        for (RequestReceived received : tick.inputs(RequestReceived.class)) {
            route(
                    tick,
                    PendingRequestRow.received(
                            received.callId(), received.request(), tick.nowMs()));
        }
        for (ForwardAnswered answered : tick.inputs(ForwardAnswered.class)) {
            takeForwarded(tick, answered.callId())
                    .ifPresent(pending -> passOn(tick, pending, answered.response()));
        }
        for (ForwardFailed failed : tick.inputs(ForwardFailed.class)) {
            takeForwarded(tick, failed.callId())
                    .ifPresent(pending -> routeAgain(tick, pending, failed));
        }
        answerOverdueForwards(tick);
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
            reject(tick, pending, response.kind(), response.reason(), response.retryAfterMs());
        } else {
            tick.emit(new Respond(pending.callId(), response));
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
            reject(tick, pending, JobResponseKind.UNAVAILABLE, "owner-away");
        } else {
            route(tick, pending);
        }
    }

    /** Returns whether no other entry than the one at the address can be the owner. */
    private static boolean isOwner(SchedulerTick tick, String address) {
        return tick.world()
                .ownership()
                .get()
                .ownership()
                .owner()
                .map(o -> o.address().equals(address))
                .orElse(true);
    }

    private static boolean isOverdue(SchedulerTick tick, PendingRequestRow pending) {
        return tick.nowMs() - pending.receivedMs() > ANSWER_WITHIN_MS;
    }

    /** Answers callers whose requests no other entry has answered in time. */
    private static void answerOverdueForwards(SchedulerTick tick) {
        for (PendingRequestRow pending : tick.world().pendingRequests().rows()) {
            if (pending.stage() == PendingRequestStage.FORWARDED && isOverdue(tick, pending)) {
                tick.world().pendingRequests().remove(pending.callId());
                reject(tick, pending, JobResponseKind.UNKNOWN, "owner-silent");
            }
        }
    }

    /** Forwards a request and keeps it until its outcome is known. */
    private static void forward(SchedulerTick tick, PendingRequestRow pending, String address) {
        PendingRequestRow forwarded = pending.asForwarded(tick.nowMs());
        tick.world().pendingRequests().put(forwarded.callId(), forwarded);
        tick.emit(new Forward(forwarded.callId(), address, forwarded.request()));
    }

    /** Decides on a request, forwards it, rejects it, or keeps it until there is an owner. */
    private static void route(SchedulerTick tick, PendingRequestRow pending) {
        SchedulerWorld world = tick.world();
        Optional<StoredRecord.Owner> owner = world.ownership().get().ownership().owner();
        boolean selfOrNone = owner.map(o -> o.node().equals(world.settings().node())).orElse(true);
        if (Authority.mayDecideRequests(tick)) {
            handle(tick, pending);
        } else if (!selfOrNone
                && !world.term().get().stage().isOwner()
                && pending.request().hops() < MAX_HOPS) {
            forward(tick, pending, owner.get().address());
        } else if (selfOrNone
                && pending.request().hops() == 0
                && !world.nodeState().get().storeReachable()) {
            forward(tick, pending, otherEntry(world, pending));
        } else if (tick.nowMs() - pending.waitingSinceMs() > ownerWaitMs(pending)) {
            reject(tick, pending, JobResponseKind.UNAVAILABLE, "no-owner");
        } else {
            world.pendingRequests().put(pending.callId(), pending);
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

    private static void reject(
            SchedulerTick tick, PendingRequestRow pending, JobResponseKind kind, String reason) {
        reject(tick, pending, kind, reason, RETRY_AFTER_MS);
    }

    /** Refuses a request; one that may have taken effect gets the answer that this is unknown. */
    private static void reject(
            SchedulerTick tick,
            PendingRequestRow pending,
            JobResponseKind refusal,
            String reason,
            long retryAfterMs) {
        boolean unknown = pending.uncertain() && refusal.deniesEffect();
        JobResponseKind kind = unknown ? JobResponseKind.UNKNOWN : refusal;
        tick.log(
                "refused",
                "call="
                        + pending.request().path()
                        + " kind="
                        + kind
                        + " reason="
                        + reason
                        + " plan="
                        + tick.world().configuration().get().configuration().version()
                        + " retry_after_ms="
                        + retryAfterMs);
        tick.count("refused." + reason);
        tick.emit(new Respond(pending.callId(), JobResponse.refusal(kind, retryAfterMs, reason)));
    }

    /** Finds the queue and the team of a request, and carries it out. */
    private static void handle(SchedulerTick tick, PendingRequestRow pending) {
        JobRequest request = pending.request();
        JobConfiguration configuration = tick.world().configuration().get().configuration();
        if (configuration.version() == 0) {
            reject(tick, pending, JobResponseKind.UNAVAILABLE, "no-plan");
            return;
        }
        Optional<JobQueue> queue = configuration.route(request.hostName(), request.path());
        if (queue.isEmpty()) {
            reject(tick, pending, JobResponseKind.NO_QUEUE, "no-queue");
            return;
        }
        Optional<JobTeam> team = configuration.teamByApiKey(request.apiKey());
        if (team.isEmpty() && !queue.get().allowsAnonymous()) {
            reject(tick, pending, JobResponseKind.NO_KEY, "no-key");
            return;
        }
        String id = request.path().substring(queue.get().pathPrefix().length());
        switch (request.kind()) {
            case SUBMIT -> submit(tick, pending, queue.get(), team, id);
            case QUERY -> query(tick, pending, queue.get(), id);
            default -> cancel(tick, pending, queue.get(), id);
        }
    }

    /** Returns a job's state or, if no job is named, how many jobs of the queue are waiting. */
    private static void query(
            SchedulerTick tick, PendingRequestRow pending, JobQueue queue, String id) {
        if (id.isEmpty()) {
            long queuedJobs =
                    tick.world().jobs().rows().stream().filter(j -> isPending(j, queue)).count();
            tick.emit(new Respond(pending.callId(), JobResponse.ofPending(queuedJobs)));
            return;
        }
        JobResponse response =
                find(tick, queue, id)
                        .map(j -> JobResponse.ofState(visibleState(j)))
                        .orElse(JobResponse.of(JobResponseKind.NO_JOB));
        tick.emit(new Respond(pending.callId(), response));
    }

    /** Returns whether a job of the queue is accepted but has not started. */
    private static boolean isPending(JobRow job, JobQueue queue) {
        return job.stored()
                && job.state() == JobState.QUEUED
                && job.policy().queue().equals(queue.name());
    }

    private static Optional<JobRow> find(SchedulerTick tick, JobQueue queue, String id) {
        return tick.world()
                .jobs()
                .find(id)
                .filter(j -> j.stored() && j.policy().queue().equals(queue.name()));
    }

    /**
     * Returns the state that callers may see. A final state is shown only once it is stored,
     * because the next owner would continue the job otherwise.
     */
    private static JobState visibleState(JobRow job) {
        boolean visible = !job.state().isFinal() || job.storedState() == job.state();
        return visible ? job.state() : JobState.RUNNING;
    }

    /** Cancels a job; a job that is already final gets the same answer. */
    private static void cancel(
            SchedulerTick tick, PendingRequestRow pending, JobQueue queue, String id) {
        Optional<JobRow> job = find(tick, queue, id);
        if (job.isEmpty()) {
            tick.emit(new Respond(pending.callId(), JobResponse.of(JobResponseKind.NO_JOB)));
        } else if (job.get().storedState().isFinal()) {
            tick.emit(new Respond(pending.callId(), JobResponse.of(JobResponseKind.CANCELLED)));
        } else {
            JobLifecycle.finish(tick, id, JobState.CANCELLED, "caller");
            awaitStore(tick, pending, id);
        }
    }

    /** Keeps a request until the store holds the change of the job, or until it is overdue. */
    private static void awaitStore(SchedulerTick tick, PendingRequestRow pending, String id) {
        tick.world()
                .pendingRequests()
                .put(pending.callId(), pending.awaitingStore(id, tick.nowMs()));
    }

    /** Accepts a new job if it is valid and can be stored; repeating a submission is harmless. */
    private static void submit(
            SchedulerTick tick,
            PendingRequestRow pending,
            JobQueue queue,
            Optional<JobTeam> team,
            String id) {
        SchedulerWorld world = tick.world();
        Optional<JobRow> existing = world.jobs().find(id);
        if (existing.isPresent()) {
            if (existing.get().stored()) {
                tick.emit(new Respond(pending.callId(), JobResponse.of(JobResponseKind.ACCEPTED)));
            } else {
                awaitStore(tick, pending, id);
            }
            return;
        }
        long retryAfterMs = BacklogLimit.retryAfterMs(world, queue.policy().pool(), id);
        JobSpec spec = pending.request().spec().orElse(JobSpec.once("", List.of()));
        Optional<String> problem = JobValidation.findProblem(world, queue, spec, id);
        if (problem.isPresent()) {
            reject(tick, pending, JobResponseKind.INVALID, problem.get());
        } else if (retryAfterMs > 0 && !spec.isService()) {
            reject(tick, pending, JobResponseKind.OVERLOADED, "backlog", retryAfterMs);
        } else if (isStoreUnreachable(tick)) {
            reject(tick, pending, JobResponseKind.UNAVAILABLE, "store-away");
        } else {
            world.jobs().put(id, newJob(tick, queue, team, spec, id));
            awaitStore(tick, pending, id);
        }
    }

    /** Returns the row of a job that is not stored yet. */
    private static JobRow newJob(
            SchedulerTick tick, JobQueue queue, Optional<JobTeam> team, JobSpec spec, String id) {
        return new JobRow(
                id,
                queue.policy(),
                team.map(JobTeam::name).orElse(JobTeam.ANONYMOUS),
                spec,
                tick.wallMs(),
                tick.nowMs(),
                JobState.QUEUED,
                false,
                JobState.QUEUED,
                0,
                0,
                tick.nowMs(),
                spec.steps().size() * spec.occurrences(),
                false,
                0);
    }

    /** Returns whether commits keep failing, or one has been unanswered for too long. */
    private static boolean isStoreUnreachable(SchedulerTick tick) {
        StoreHealthRow store = tick.world().storeHealth().get();
        boolean commitOverdue =
                tick.world()
                        .commit()
                        .get()
                        .filter(c -> tick.nowMs() - c.sentMs() > STORE_UNREACHABLE_MS)
                        .isPresent();
        return commitOverdue || store.isUnreachable(tick.nowMs());
    }
}
