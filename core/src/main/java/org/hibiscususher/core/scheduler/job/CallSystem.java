package org.hibiscususher.core.scheduler.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.job.AnswerKind;
import org.hibiscususher.core.job.JobAnswer;
import org.hibiscususher.core.job.JobCall;
import org.hibiscususher.core.job.JobPlan;
import org.hibiscususher.core.job.JobQueue;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.job.JobTeam;
import org.hibiscususher.core.scheduler.message.SchedulerInput.CallReceived;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ForwardFailed;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Answer;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Forward;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.term.Authority;
import org.hibiscususher.core.scheduler.world.CallRow;
import org.hibiscususher.core.scheduler.world.CallStage;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StoreRow;

/** Answers callers, or passes their requests on to the owner. */
public final class CallSystem {
    /** Entries that may pass a request on. */
    private static final int MAX_HOPS = 3;

    /** Longest time for which a request waits for an owner, in milliseconds. */
    private static final long OWNER_WAIT_MS = 120;

    /** Age of a commit beyond which the store counts as away, in milliseconds. */
    private static final long STORE_AWAY_MS = 700;

    private static final long RETRY_AFTER_MS = 1_000;

    private CallSystem() {}

    /** Takes in new requests and those that wait for an owner. */
    public static void run(SchedulerTick tick) {
        for (CallRow call : tick.world().calls().rows()) {
            if (call.stage() == CallStage.OWNER) {
                tick.world().calls().remove(call.callId());
                place(tick, call);
            }
        }
        for (CallReceived received : tick.inputs(CallReceived.class)) {
            CallRow call =
                    new CallRow(
                            received.callId(), received.call(), "", CallStage.OWNER, tick.nowMs());
            place(tick, call);
        }
        for (ForwardFailed failed : tick.inputs(ForwardFailed.class)) {
            AnswerKind kind = failed.sent() ? AnswerKind.UNKNOWN : AnswerKind.UNAVAILABLE;
            tick.log("forward-failed", "address=" + failed.address() + " sent=" + failed.sent());
            tick.count("refused.forward-failed");
            tick.emit(
                    new Answer(
                            failed.callId(),
                            JobAnswer.refusal(kind, RETRY_AFTER_MS, "owner-away")));
        }
    }

    private static void place(SchedulerTick tick, CallRow call) {
        SchedulerWorld world = tick.world();
        Optional<StoredRecord.Owner> owner = world.ownership().get().ownership().owner();
        boolean self = owner.map(o -> o.node().equals(world.settings().node())).orElse(true);
        if (Authority.mayDecideRequests(tick)) {
            decide(tick, call);
        } else if (!self
                && !world.term().get().stage().isOwner()
                && call.call().hops() < MAX_HOPS) {
            tick.emit(new Forward(call.callId(), owner.get().address(), call.call().passedOn()));
        } else if (self && call.call().hops() == 0 && !world.node().get().storeReached()) {
            tick.emit(new Forward(call.callId(), seed(world, call), call.call().passedOn()));
        } else if (tick.nowMs() - call.sinceMs() > OWNER_WAIT_MS) {
            refuse(tick, call, AnswerKind.UNAVAILABLE, "no-owner");
        } else {
            world.calls().put(call.callId(), call);
        }
    }

    /** Returns another entry, which may know the owner that this one can't hear of. */
    private static String seed(SchedulerWorld world, CallRow call) {
        List<String> seeds = new ArrayList<>(world.settings().seeds());
        seeds.remove(world.settings().address());
        return seeds.isEmpty()
                ? world.settings().address()
                : seeds.get((int) (call.callId() % seeds.size()));
    }

    private static void refuse(SchedulerTick tick, CallRow call, AnswerKind kind, String reason) {
        refuse(tick, call, kind, reason, RETRY_AFTER_MS);
    }

    private static void refuse(
            SchedulerTick tick, CallRow call, AnswerKind kind, String reason, long retryAfterMs) {
        tick.log(
                "refused",
                "call="
                        + call.call().path()
                        + " kind="
                        + kind
                        + " reason="
                        + reason
                        + " plan="
                        + tick.world().plan().get().plan().version()
                        + " retry_after_ms="
                        + retryAfterMs);
        tick.count("refused." + reason);
        tick.emit(new Answer(call.callId(), JobAnswer.refusal(kind, retryAfterMs, reason)));
    }

    private static void decide(SchedulerTick tick, CallRow row) {
        JobCall call = row.call();
        JobPlan plan = tick.world().plan().get().plan();
        if (plan.version() == 0) {
            refuse(tick, row, AnswerKind.UNAVAILABLE, "no-plan");
            return;
        }
        Optional<JobQueue> queue = plan.route(call.host(), call.path());
        if (queue.isEmpty()) {
            refuse(tick, row, AnswerKind.NO_QUEUE, "no-queue");
            return;
        }
        Optional<JobTeam> team = plan.teamOfKey(call.key());
        if (team.isEmpty() && !queue.get().open()) {
            refuse(tick, row, AnswerKind.NO_KEY, "no-key");
            return;
        }
        String id = call.path().substring(queue.get().prefix().length());
        switch (call.kind()) {
            case SUBMIT -> submit(tick, row, queue.get(), team, id);
            case QUERY -> query(tick, row, queue.get(), id);
            default -> cancel(tick, row, queue.get(), id);
        }
    }

    private static void query(SchedulerTick tick, CallRow row, JobQueue queue, String id) {
        if (id.isEmpty()) {
            long pending =
                    tick.world().jobs().rows().stream().filter(j -> isPending(j, queue)).count();
            tick.emit(new Answer(row.callId(), JobAnswer.ofPending(pending)));
            return;
        }
        JobAnswer answer =
                find(tick, queue, id)
                        .map(j -> JobAnswer.ofState(shown(j)))
                        .orElse(JobAnswer.of(AnswerKind.NO_JOB));
        tick.emit(new Answer(row.callId(), answer));
    }

    private static boolean isPending(JobRow job, JobQueue queue) {
        return job.stored()
                && job.state() == JobState.QUEUED
                && job.terms().queue().equals(queue.name());
    }

    private static Optional<JobRow> find(SchedulerTick tick, JobQueue queue, String id) {
        return tick.world()
                .jobs()
                .find(id)
                .filter(j -> j.stored() && j.terms().queue().equals(queue.name()));
    }

    /** Returns the state that callers are told: a final one only once it is stored. */
    private static JobState shown(JobRow job) {
        boolean told = !job.state().isFinal() || job.storedState() == job.state();
        return told ? job.state() : JobState.RUNNING;
    }

    private static void cancel(SchedulerTick tick, CallRow row, JobQueue queue, String id) {
        Optional<JobRow> job = find(tick, queue, id);
        if (job.isEmpty()) {
            tick.emit(new Answer(row.callId(), JobAnswer.of(AnswerKind.NO_JOB)));
        } else if (job.get().storedState().isFinal()) {
            tick.emit(new Answer(row.callId(), JobAnswer.of(AnswerKind.CANCELLED)));
        } else {
            Jobs.finish(tick, id, JobState.CANCELLED, "caller");
            await(tick, row, id);
        }
    }

    private static void await(SchedulerTick tick, CallRow row, String id) {
        tick.world()
                .calls()
                .put(
                        row.callId(),
                        new CallRow(row.callId(), row.call(), id, CallStage.STORE, tick.nowMs()));
    }

    private static void submit(
            SchedulerTick tick, CallRow row, JobQueue queue, Optional<JobTeam> team, String id) {
        SchedulerWorld world = tick.world();
        Optional<JobRow> known = world.jobs().find(id);
        if (known.isPresent()) {
            if (known.get().stored()) {
                tick.emit(new Answer(row.callId(), JobAnswer.of(AnswerKind.ACCEPTED)));
            } else {
                await(tick, row, id);
            }
            return;
        }
        long retryAfterMs = BacklogLimit.retryAfterMs(world, queue.terms().pool(), id);
        JobSpec spec = row.call().spec().orElse(JobSpec.once("", List.of()));
        Optional<String> problem = JobValidation.findProblem(world, queue, spec, id);
        if (problem.isPresent()) {
            refuse(tick, row, AnswerKind.INVALID, problem.get());
        } else if (retryAfterMs > 0 && !spec.isLasting()) {
            refuse(tick, row, AnswerKind.OVERLOADED, "backlog", retryAfterMs);
        } else if (isStoreAway(tick)) {
            refuse(tick, row, AnswerKind.UNAVAILABLE, "store-away");
        } else {
            world.jobs().put(id, newJob(tick, queue, team, spec, id));
            await(tick, row, id);
        }
    }

    private static JobRow newJob(
            SchedulerTick tick, JobQueue queue, Optional<JobTeam> team, JobSpec spec, String id) {
        return new JobRow(
                id,
                queue.terms(),
                team.map(JobTeam::name).orElse(JobTeam.NOBODY),
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
        StoreRow store = tick.world().store().get();
        boolean silent =
                tick.world()
                        .commit()
                        .get()
                        .filter(c -> tick.nowMs() - c.sentMs() > STORE_AWAY_MS)
                        .isPresent();
        return silent || store.isAway(tick.nowMs());
    }
}
