package org.hibiscususher.core.scheduler.job;

import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.job.JobConfiguration;
import org.hibiscususher.core.job.JobId;
import org.hibiscususher.core.job.JobQueue;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.job.JobTeam;
import org.hibiscususher.core.job.OwnerLoad;
import org.hibiscususher.core.scheduler.message.RecordKind;
import org.hibiscususher.core.scheduler.message.RecordName;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.term.Authority;
import org.hibiscususher.core.scheduler.world.CancellationRow;
import org.hibiscususher.core.scheduler.world.CommitRow;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.PendingRequestRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StoreHealthRow;

/**
 * Carries out requests about jobs on the owner.
 *
 * <p>Submissions and cancellations are answered only after their effect is stored, so that a
 * takeover can't contradict an answer already given.
 */
final class JobRequestDecision {
    /** Age of an unanswered commit above which the store counts as unreachable, in milliseconds. */
    private static final long STORE_UNREACHABLE_MS = 700;

    /** What a submission without content asks for; no job has no steps. */
    private static final JobSpec NO_SPEC = JobSpec.once("", List.of());

    private JobRequestDecision() {}

    /** Finds the queue and the team of a request, and carries it out. */
    static void handle(SchedulerTick tick, PendingRequestRow pending) {
        JobRequest request = pending.request();
        JobConfiguration configuration = tick.world().configuration().get().configuration();
        if (configuration.version() == 0) {
            JobRequestRejection.reject(tick, pending, JobResponseKind.UNAVAILABLE, "no-plan");
            return;
        }
        Optional<JobQueue> queue = configuration.route(request.hostName(), request.path());
        if (queue.isEmpty()) {
            JobRequestRejection.reject(tick, pending, JobResponseKind.NO_QUEUE, "no-queue");
            return;
        }
        Optional<JobTeam> team = configuration.teamByApiKey(request.apiKey());
        if (team.isEmpty() && !queue.get().allowsAnonymous()) {
            JobRequestRejection.reject(tick, pending, JobResponseKind.NO_KEY, "no-key");
            return;
        }
        String id = request.path().substring(queue.get().pathPrefix().length());
        switch (request.kind()) {
            case SUBMIT -> submit(tick, pending, queue.get(), team, id);
            case QUERY -> query(tick, pending, queue.get(), id);
            default -> cancel(tick, pending);
        }
    }

    /** Returns a job's state or, if no job is named, how many jobs of the queue are waiting. */
    private static void query(
            SchedulerTick tick, PendingRequestRow pending, JobQueue queue, String id) {
        if (id.isEmpty()) {
            respondIfLeaseHolds(tick, pending, JobResponse.ofPending(countPending(tick, queue)));
            return;
        }
        Optional<JobRow> job = find(tick, pending.request());
        if (job.isEmpty()) {
            respondUnknownJob(tick, pending);
        } else if (job.get().stored()) {
            JobResponse response = JobResponse.ofState(job.get().visibleState());
            tick.emit(pending.respond(response));
        } else {
            awaitStore(tick, pending, job.get().id());
        }
    }

    /** Returns the number of jobs of a queue that are accepted but have not started. */
    private static long countPending(SchedulerTick tick, JobQueue queue) {
        JobConfiguration configuration = tick.world().configuration().get().configuration();
        return tick.world().jobs().rows().stream()
                .filter(j -> j.stored() && j.state() == JobState.QUEUED)
                .map(JobRow::record)
                .filter(r -> configuration.isQueueOf(queue, r.address(), r.policy().queue()))
                .count();
    }

    /**
     * Returns the job that a request names, whether it is stored or its commit is on the way.
     *
     * <p>The id alone names it. The queue that the path selects need not be the one to which the
     * job was submitted, since each configuration may name and cut queues otherwise.
     */
    private static Optional<JobRow> find(SchedulerTick tick, JobRequest request) {
        return JobId.atEndOf(request.path()).flatMap(id -> tick.world().jobs().find(id));
    }

    private static void respondUnknownJob(SchedulerTick tick, PendingRequestRow pending) {
        respondIfLeaseHolds(tick, pending, JobResponse.of(JobResponseKind.NO_JOB));
    }

    /** Answers with what a later owner could contradict, unless there may be one. */
    private static void respondIfLeaseHolds(
            SchedulerTick tick, PendingRequestRow pending, JobResponse response) {
        if (Authority.mayDenyJobs(tick)) {
            tick.emit(pending.respond(response));
        } else {
            JobRequestSystem.awaitOwner(tick, pending);
        }
    }

    /**
     * Cancels a job; a job that is already final gets the same answer.
     *
     * <p>A job whose commit is in flight is cancelled as well: the store may hold it already or
     * later, and then it must not run.
     */
    private static void cancel(SchedulerTick tick, PendingRequestRow pending) {
        String id = JobId.atEndOf(pending.request().path()).orElse("");
        Optional<JobRow> job = tick.world().jobs().find(id);
        logCancellation(tick, id, job);
        if (job.isEmpty()) {
            cancelUnknownJob(tick, pending, id);
        } else if (job.get().storedState().isFinal()) {
            tick.emit(pending.respond(JobResponse.of(JobResponseKind.CANCELLED)));
        } else {
            JobLifecycle.finish(tick, id, JobState.CANCELLED, "caller");
            awaitStore(tick, pending, id);
        }
    }

    /**
     * Cancels a job of which nothing is known. Its submission may still be under way, so the
     * response that there is none waits until the store holds the cancellation.
     *
     * @param id job id; empty if the path ends with none, so that no submission can name the job
     */
    private static void cancelUnknownJob(SchedulerTick tick, PendingRequestRow pending, String id) {
        if (id.isEmpty() || JobCancellations.isStored(tick, id)) {
            respondUnknownJob(tick, pending);
        } else if (!Authority.mayDenyJobs(tick)) {
            JobRequestSystem.awaitOwner(tick, pending);
        } else if (isStoreUnreachable(tick)) {
            rejectForOutage(tick, pending, id);
        } else if (!JobCancellations.hasRoom(tick.world(), id)) {
            JobRequestRejection.reject(
                    tick, pending, JobResponseKind.OVERLOADED, "too-many-cancellations");
        } else {
            JobCancellations.add(tick, id);
            awaitStore(tick, pending, id);
        }
    }

    private static void logCancellation(SchedulerTick tick, String id, Optional<JobRow> job) {
        SchedulerWorld world = tick.world();
        tick.log(
                "cancel",
                "job="
                        + id
                        + " state="
                        + job.map(j -> j.state().name()).orElse("unknown")
                        + " stored="
                        + job.map(JobRow::stored).orElse(false)
                        + " in_flight="
                        + world.isCommitInFlight(RecordName.of(RecordKind.JOB, id))
                        + " lease_left_ms="
                        + (world.term().get().validUntilMs() - tick.nowMs()));
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
        Optional<JobRow> existing = find(tick, pending.request());
        if (existing.isPresent()) {
            if (existing.get().stored()) {
                tick.emit(pending.respond(JobResponse.of(JobResponseKind.ACCEPTED)));
            } else {
                awaitStore(tick, pending, existing.get().id());
            }
            return;
        }
        Optional<CancellationRow> cancellation = JobCancellations.find(tick, id);
        if (cancellation.isPresent()) {
            if (cancellation.get().stored()) {
                JobCancellations.rejectSubmission(tick, pending);
            } else {
                awaitStore(tick, pending, id);
            }
            return;
        }
        JobRequest request = pending.request();
        JobSpec spec = request.spec().orElse(NO_SPEC);
        Optional<String> problem = JobValidation.findProblem(spec, id);
        if (problem.isPresent()) {
            JobRequestRejection.reject(tick, pending, JobResponseKind.INVALID, problem.get());
            return;
        }
        JobRow job = newJob(tick, request, queue, team, id);
        BacklogLimit.Decision backlog = BacklogLimit.decide(world, job, tick.nowMs());
        if (backlog.rejects()) {
            rejectForBacklog(tick, pending, job, backlog);
        } else if (isStoreUnreachable(tick)) {
            rejectForOutage(tick, pending, id);
        } else {
            world.jobs().put(id, job);
            PoolBacklogs.add(world, job, tick.nowMs());
            awaitStore(tick, pending, id);
        }
    }

    private static void rejectForOutage(SchedulerTick tick, PendingRequestRow pending, String id) {
        JobRequestRejection.reject(
                tick,
                pending,
                JobResponseKind.UNAVAILABLE,
                "store-away",
                OutageRetry.afterMs(tick.world().storeHealth().get(), tick.nowMs(), id.hashCode()));
    }

    private static void rejectForBacklog(
            SchedulerTick tick,
            PendingRequestRow pending,
            JobRow job,
            BacklogLimit.Decision backlog) {
        tick.log(
                "backlog",
                "job="
                        + job.id()
                        + " pool="
                        + job.policy().pool()
                        + " team="
                        + job.team()
                        + " wait_ms="
                        + backlog.waitMs()
                        + " max_wait_ms="
                        + backlog.maxWaitMs()
                        + " over_share="
                        + backlog.overShare());
        JobRequestRejection.reject(
                tick,
                pending.withOwnerLoad(loadWithRejection(pending, job, backlog)),
                JobResponseKind.OVERLOADED,
                "backlog",
                backlog.retryAfterMs(job.id().hashCode()));
    }

    /**
     * Returns the load that extends a refusal to submissions with at least the same work, for as
     * long as the backlog needs to shrink to what would be accepted.
     */
    private static Optional<OwnerLoad> loadWithRejection(
            PendingRequestRow pending, JobRow job, BacklogLimit.Decision backlog) {
        long rejectMs = backlog.waitMs() - backlog.maxWaitMs();
        return pending.ownerLoad().map(load -> load.rejecting(rejectMs, job.spec().workCoreMs()));
    }

    /** Returns the row of a job that is not stored yet. */
    private static JobRow newJob(
            SchedulerTick tick,
            JobRequest request,
            JobQueue queue,
            Optional<JobTeam> team,
            String id) {
        StoredRecord.Job record =
                new StoredRecord.Job(
                        id,
                        queue.policy(),
                        request.address(),
                        team.map(JobTeam::name).orElse(JobTeam.ANONYMOUS),
                        request.spec().orElse(NO_SPEC),
                        tick.wallMs());
        return JobRow.received(record, tick.nowMs());
    }

    /** Returns whether commits keep failing, or all in flight have been unanswered for too long. */
    private static boolean isStoreUnreachable(SchedulerTick tick) {
        StoreHealthRow store = tick.world().storeHealth().get();
        List<CommitRow> inFlight = tick.world().commits().rows();
        boolean overdue =
                !inFlight.isEmpty()
                        && inFlight.stream()
                                .allMatch(c -> tick.nowMs() - c.sentMs() > STORE_UNREACHABLE_MS);
        return overdue || store.isUnreachable(tick.nowMs());
    }
}
