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

/** Answers callers, or passes their requests on to the owner. */
public final class JobRequestSystem {
    /** Entries that may pass a request on. */
    private static final int MAX_HOPS = 3;

    /** Longest time for which a request waits for an owner, in milliseconds. */
    private static final long OWNER_WAIT_MS = 120;

    /** Age of a commit beyond which the store counts as away, in milliseconds. */
    private static final long STORE_AWAY_MS = 700;

    private static final long RETRY_AFTER_MS = 1_000;

    private JobRequestSystem() {}

    /** Takes in new requests and those that wait for an owner. */
    public static void run(SchedulerTick tick) {
        for (PendingRequestRow call : tick.world().pendingRequests().rows()) {
            if (call.stage() == PendingRequestStage.AWAITING_OWNER) {
                tick.world().pendingRequests().remove(call.callId());
                place(tick, call);
            }
        }
        for (RequestReceived received : tick.inputs(RequestReceived.class)) {
            PendingRequestRow call =
                    new PendingRequestRow(
                            received.callId(),
                            received.request(),
                            "",
                            PendingRequestStage.AWAITING_OWNER,
                            tick.nowMs());
            place(tick, call);
        }
        for (ForwardFailed failed : tick.inputs(ForwardFailed.class)) {
            JobResponseKind kind =
                    failed.maybeReceived() ? JobResponseKind.UNKNOWN : JobResponseKind.UNAVAILABLE;
            tick.log(
                    "forward-failed",
                    "address=" + failed.address() + " sent=" + failed.maybeReceived());
            tick.count("refused.forward-failed");
            tick.emit(
                    new Respond(
                            failed.callId(),
                            JobResponse.refusal(kind, RETRY_AFTER_MS, "owner-away")));
        }
    }

    private static void place(SchedulerTick tick, PendingRequestRow call) {
        SchedulerWorld world = tick.world();
        Optional<StoredRecord.Owner> owner = world.ownership().get().ownership().owner();
        boolean self = owner.map(o -> o.node().equals(world.settings().node())).orElse(true);
        if (Authority.mayDecideRequests(tick)) {
            decide(tick, call);
        } else if (!self
                && !world.term().get().stage().isOwner()
                && call.request().hops() < MAX_HOPS) {
            tick.emit(
                    new Forward(call.callId(), owner.get().address(), call.request().forwarded()));
        } else if (self
                && call.request().hops() == 0
                && !world.nodeState().get().storeReachable()) {
            tick.emit(new Forward(call.callId(), seed(world, call), call.request().forwarded()));
        } else if (tick.nowMs() - call.waitingSinceMs() > OWNER_WAIT_MS) {
            refuse(tick, call, JobResponseKind.UNAVAILABLE, "no-owner");
        } else {
            world.pendingRequests().put(call.callId(), call);
        }
    }

    /** Returns another entry, which may know the owner that this one can't hear of. */
    private static String seed(SchedulerWorld world, PendingRequestRow call) {
        List<String> seeds = new ArrayList<>(world.settings().seeds());
        seeds.remove(world.settings().address());
        return seeds.isEmpty()
                ? world.settings().address()
                : seeds.get((int) (call.callId() % seeds.size()));
    }

    private static void refuse(
            SchedulerTick tick, PendingRequestRow call, JobResponseKind kind, String reason) {
        refuse(tick, call, kind, reason, RETRY_AFTER_MS);
    }

    private static void refuse(
            SchedulerTick tick,
            PendingRequestRow call,
            JobResponseKind kind,
            String reason,
            long retryAfterMs) {
        tick.log(
                "refused",
                "call="
                        + call.request().path()
                        + " kind="
                        + kind
                        + " reason="
                        + reason
                        + " plan="
                        + tick.world().configuration().get().configuration().version()
                        + " retry_after_ms="
                        + retryAfterMs);
        tick.count("refused." + reason);
        tick.emit(new Respond(call.callId(), JobResponse.refusal(kind, retryAfterMs, reason)));
    }

    private static void decide(SchedulerTick tick, PendingRequestRow row) {
        JobRequest call = row.request();
        JobConfiguration plan = tick.world().configuration().get().configuration();
        if (plan.version() == 0) {
            refuse(tick, row, JobResponseKind.UNAVAILABLE, "no-plan");
            return;
        }
        Optional<JobQueue> queue = plan.route(call.hostName(), call.path());
        if (queue.isEmpty()) {
            refuse(tick, row, JobResponseKind.NO_QUEUE, "no-queue");
            return;
        }
        Optional<JobTeam> team = plan.teamByApiKey(call.apiKey());
        if (team.isEmpty() && !queue.get().allowsAnonymous()) {
            refuse(tick, row, JobResponseKind.NO_KEY, "no-key");
            return;
        }
        String id = call.path().substring(queue.get().pathPrefix().length());
        switch (call.kind()) {
            case SUBMIT -> submit(tick, row, queue.get(), team, id);
            case QUERY -> query(tick, row, queue.get(), id);
            default -> cancel(tick, row, queue.get(), id);
        }
    }

    private static void query(
            SchedulerTick tick, PendingRequestRow row, JobQueue queue, String id) {
        if (id.isEmpty()) {
            long pending =
                    tick.world().jobs().rows().stream().filter(j -> isPending(j, queue)).count();
            tick.emit(new Respond(row.callId(), JobResponse.ofPending(pending)));
            return;
        }
        JobResponse answer =
                find(tick, queue, id)
                        .map(j -> JobResponse.ofState(shown(j)))
                        .orElse(JobResponse.of(JobResponseKind.NO_JOB));
        tick.emit(new Respond(row.callId(), answer));
    }

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

    /** Returns the state that callers are told: a final one only once it is stored. */
    private static JobState shown(JobRow job) {
        boolean told = !job.state().isFinal() || job.storedState() == job.state();
        return told ? job.state() : JobState.RUNNING;
    }

    private static void cancel(
            SchedulerTick tick, PendingRequestRow row, JobQueue queue, String id) {
        Optional<JobRow> job = find(tick, queue, id);
        if (job.isEmpty()) {
            tick.emit(new Respond(row.callId(), JobResponse.of(JobResponseKind.NO_JOB)));
        } else if (job.get().storedState().isFinal()) {
            tick.emit(new Respond(row.callId(), JobResponse.of(JobResponseKind.CANCELLED)));
        } else {
            JobLifecycle.finish(tick, id, JobState.CANCELLED, "caller");
            await(tick, row, id);
        }
    }

    private static void await(SchedulerTick tick, PendingRequestRow row, String id) {
        tick.world()
                .pendingRequests()
                .put(
                        row.callId(),
                        new PendingRequestRow(
                                row.callId(),
                                row.request(),
                                id,
                                PendingRequestStage.AWAITING_STORE,
                                tick.nowMs()));
    }

    private static void submit(
            SchedulerTick tick,
            PendingRequestRow row,
            JobQueue queue,
            Optional<JobTeam> team,
            String id) {
        SchedulerWorld world = tick.world();
        Optional<JobRow> known = world.jobs().find(id);
        if (known.isPresent()) {
            if (known.get().stored()) {
                tick.emit(new Respond(row.callId(), JobResponse.of(JobResponseKind.ACCEPTED)));
            } else {
                await(tick, row, id);
            }
            return;
        }
        long retryAfterMs = BacklogLimit.retryAfterMs(world, queue.policy().pool(), id);
        JobSpec spec = row.request().spec().orElse(JobSpec.once("", List.of()));
        Optional<String> problem = JobValidation.findProblem(world, queue, spec, id);
        if (problem.isPresent()) {
            refuse(tick, row, JobResponseKind.INVALID, problem.get());
        } else if (retryAfterMs > 0 && !spec.isService()) {
            refuse(tick, row, JobResponseKind.OVERLOADED, "backlog", retryAfterMs);
        } else if (isStoreAway(tick)) {
            refuse(tick, row, JobResponseKind.UNAVAILABLE, "store-away");
        } else {
            world.jobs().put(id, newJob(tick, queue, team, spec, id));
            await(tick, row, id);
        }
    }

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

    private static boolean isStoreAway(SchedulerTick tick) {
        StoreHealthRow store = tick.world().storeHealth().get();
        boolean silent =
                tick.world()
                        .commit()
                        .get()
                        .filter(c -> tick.nowMs() - c.sentMs() > STORE_AWAY_MS)
                        .isPresent();
        return silent || store.isUnreachable(tick.nowMs());
    }
}
