package org.hibiscususher.core.scheduler.term;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hibiscususher.core.job.JobRequestKind;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.scheduler.job.JobLifecycle;
import org.hibiscususher.core.scheduler.job.OutageRetry;
import org.hibiscususher.core.scheduler.message.LoadedRecord;
import org.hibiscususher.core.scheduler.message.RecordKind;
import org.hibiscususher.core.scheduler.message.RecordName;
import org.hibiscususher.core.scheduler.message.RecordWrite;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.CommitConflict;
import org.hibiscususher.core.scheduler.message.SchedulerInput.CommitFailed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.Committed;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Commit;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Measure;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.CommitPurpose;
import org.hibiscususher.core.scheduler.world.CommitRow;
import org.hibiscususher.core.scheduler.world.PendingRequestRow;
import org.hibiscususher.core.scheduler.world.PendingRequestStage;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StoreHealthRow;
import org.hibiscususher.core.scheduler.world.TermStage;

/**
 * Sends the owner's commits to the store and applies their results.
 *
 * <p>Several commits may be in flight, each with records of its own: a store that answers slowly or
 * loses an answer then holds up the records of one commit, not all. A commit that may have taken
 * effect is sent again unchanged until its outcome is known; building a new one from the tables
 * could store a state that contradicts it.
 */
public final class CommitSystem {
    /** Time before the next commit after one that certainly failed, in milliseconds. */
    private static final long RETRY_MS = 150;

    /** Time after which a job that certainly was not stored is rejected, in milliseconds. */
    private static final long REJECT_AFTER_MS = 250;

    /** Time after which a caller gets the answer that the outcome is unknown, in milliseconds. */
    private static final long UNKNOWN_AFTER_MS = 1_200;

    /** Time limit of the first attempt of a commit, in milliseconds. */
    private static final int FIRST_TIMEOUT_MS = 320;

    private static final int MAX_TIMEOUT_MS = 1_500;

    /** Age from which a commit that took effect is logged as slow, in milliseconds. */
    private static final long SLOW_COMMIT_MS = 200;

    /** Most commits in flight. */
    private static final int MAX_IN_FLIGHT = 8;

    /**
     * How long the latest commit must have been unanswered before another one is sent, in
     * milliseconds. Changes of this time share a commit; a store in good health answers sooner.
     */
    private static final long OVERLAP_DELAY_MS = 25;

    private CommitSystem() {}

    /** Applies the store's answers to the commits in flight, then answers overdue requests. */
    public static void handleResults(SchedulerTick tick) {
        tick.forEachInput(SchedulerInput.class, input -> apply(tick, input));
        answerOverdueRequests(tick);
    }

    private static void apply(SchedulerTick tick, SchedulerInput input) {
        if (input instanceof Committed committed) {
            findCommit(tick, committed.callId())
                    .ifPresent(c -> applyCommitted(tick, c, committed.revision(), Map.of()));
        } else if (input instanceof CommitConflict conflict) {
            findCommit(tick, conflict.callId())
                    .ifPresent(c -> applyConflict(tick, c, conflict.current()));
        } else if (input instanceof CommitFailed failed) {
            findCommit(tick, failed.callId()).ifPresent(c -> applyFailure(tick, c, failed));
        }
    }

    /** Returns the commit whose last attempt has a call id. */
    private static Optional<CommitRow> findCommit(SchedulerTick tick, long callId) {
        return tick.world().commits().rows().stream()
                .filter(commit -> commit.callId() == callId)
                .findFirst();
    }

    /** Repeats the commits that are due, then sends the next one if it may go now. */
    public static void send(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        if (!world.term().get().isScheduling()) {
            return;
        }
        for (CommitRow commit : world.commits().rows()) {
            if (commit.retryAtMs() != 0 && tick.nowMs() >= commit.retryAtMs()) {
                emit(tick, commit.withRetry(tick.nextCallId()));
            }
        }
        while (mayOverlap(tick)) {
            Optional<CommitRow> next = Commits.next(tick);
            if (next.isEmpty()) {
                return;
            }
            emit(tick, next.get());
        }
    }

    /**
     * Returns whether another commit may be sent beside those in flight. A batch of new jobs that
     * is full doesn't wait for further changes, so that in a surge of submissions neither the
     * number of ticks nor the store's answers limit how many are stored.
     */
    private static boolean mayOverlap(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        List<CommitRow> inFlight = world.commits().rows();
        if (inFlight.isEmpty()) {
            StoreHealthRow store = world.storeHealth().get();
            return !store.isFailing() || tick.nowMs() - store.lastFailureMs() >= RETRY_MS;
        }
        boolean releasing = world.term().get().stage() == TermStage.RELEASING;
        long latestMs = inFlight.get(inFlight.size() - 1).sentMs();
        return !releasing
                && inFlight.size() < MAX_IN_FLIGHT
                && (tick.nowMs() - latestMs >= OVERLAP_DELAY_MS || isBatchDue(world));
    }

    /** Returns whether a full batch should go at once; not to a store that fails. */
    private static boolean isBatchDue(SchedulerWorld world) {
        return !world.storeHealth().get().isFailing() && Commits.isBatchFull(world);
    }

    private static void emit(SchedulerTick tick, CommitRow commit) {
        tick.world().commits().put(commit.id(), commit);
        tick.emit(
                new Commit(
                        commit.callId(),
                        commit.guards(),
                        commit.writes(),
                        commit.removals(),
                        timeoutMs(commit.attempts())));
    }

    /**
     * Returns the time limit of an attempt; it doubles with each attempt, up to a maximum, so that
     * a slow store gets the time to answer.
     */
    private static int timeoutMs(int attempt) {
        return Math.min(MAX_TIMEOUT_MS, FIRST_TIMEOUT_MS << Math.min(attempt - 1, 3));
    }

    /**
     * Applies that a commit took effect.
     *
     * @param revision revision of the commit; 0 if unknown, because a conflict showed the success
     * @param revisions revisions of single records by name, which take precedence
     */
    private static void applyCommitted(
            SchedulerTick tick, CommitRow commit, long revision, Map<RecordName, Long> revisions) {
        SchedulerWorld world = tick.world();
        world.commits().remove(commit.id());
        world.storeHealth().set(world.storeHealth().get().withSuccess(tick.nowMs()));
        measure(tick, commit);
        for (RecordName name : commit.removals()) {
            world.revisions().remove(name);
            world.pendingRemovals().remove(name);
        }
        for (RecordWrite write : commit.writes()) {
            RecordName name = write.record().name();
            world.revisions().put(name, revisions.getOrDefault(name, revision));
            Commits.applyStored(tick, write.record(), commit.versions());
        }
        if (commit.purpose() == CommitPurpose.RELEASE) {
            StepDown.run(tick, "released");
        }
    }

    private static void measure(SchedulerTick tick, CommitRow commit) {
        long ageMs = tick.nowMs() - commit.sentMs();
        tick.emit(new Measure("store.commit", ageMs));
        tick.emit(new Measure("store.commit-records", commit.writes().size()));
        if (ageMs >= SLOW_COMMIT_MS) {
            tick.log(
                    "commit-slow",
                    "age_ms="
                            + ageMs
                            + " attempts="
                            + commit.attempts()
                            + " records="
                            + commit.writes().size()
                            + " in_flight="
                            + tick.world().commits().rows().size()
                            + " pending_requests="
                            + tick.world().pendingRequests().rows().size());
        }
    }

    /**
     * Applies that the conditions of a commit did not hold.
     *
     * <p>If the term record has changed, a later owner exists. Otherwise the records tell whether
     * an earlier attempt of this commit has taken effect; if none has, its changes go into the next
     * commits. The latter is so after the owner has claimed a new term and kept its tables.
     *
     * @param current the guarded records as the store holds them now
     */
    private static void applyConflict(
            SchedulerTick tick, CommitRow commit, List<LoadedRecord> current) {
        SchedulerWorld world = tick.world();
        Map<RecordName, Long> revisions = new HashMap<>();
        current.forEach(record -> revisions.put(record.name(), record.revision()));
        long fence = world.term().get().fence();
        if (revisions.getOrDefault(RecordName.TERM, fence) != fence) {
            StepDown.run(tick, "later-term");
        } else if (commit.uncertain() && commit.isVisibleIn(revisions)) {
            applyCommitted(tick, commit, 0, revisions);
        } else {
            tick.log("commit-conflict", "records=" + revisions);
            revisions.forEach((name, revision) -> world.revisions().put(name, revision));
            drop(tick, commit);
        }
    }

    /**
     * Applies a failed attempt; the commit is kept for a repetition if it may have taken effect.
     */
    private static void applyFailure(SchedulerTick tick, CommitRow commit, CommitFailed failed) {
        SchedulerWorld world = tick.world();
        StoreHealthRow store = world.storeHealth().get();
        world.storeHealth().set(store.withFailure(tick.nowMs()));
        long delayMs = failed.uncertain() ? 0 : RETRY_MS;
        CommitRow updated = commit.withFailure(tick.nowMs() + delayMs, failed.uncertain());
        tick.count("store.commit-failed");
        if (!store.isFailing()) {
            tick.log(
                    "commit-failed",
                    "uncertain="
                            + failed.uncertain()
                            + " records="
                            + commit.writes().size()
                            + " age_ms="
                            + (tick.nowMs() - commit.sentMs()));
        }
        if (updated.uncertain()) {
            world.commits().put(updated.id(), updated);
        } else {
            drop(tick, updated);
        }
    }

    /** Answers callers whose requests could not be stored in time. */
    private static void answerOverdueRequests(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        for (PendingRequestRow request : world.pendingRequests().rows()) {
            long ageMs = tick.nowMs() - request.waitingSinceMs();
            // Rejecting a submission may have answered other requests on its job.
            boolean waiting =
                    request.stage() == PendingRequestStage.AWAITING_STORE
                            && world.pendingRequests().contains(request.callId());
            if (waiting && ageMs > REJECT_AFTER_MS) {
                answerIfOverdue(tick, request, ageMs);
            }
        }
    }

    /**
     * Rejects a submission that certainly was not stored because the store is unreachable, or
     * answers that the outcome is unknown once the request has waited for long.
     *
     * @param ageMs how long the request has waited for the store
     */
    private static void answerIfOverdue(SchedulerTick tick, PendingRequestRow request, long ageMs) {
        SchedulerWorld world = tick.world();
        boolean unreachable = world.storeHealth().get().isUnreachable(tick.nowMs());
        boolean inFlight = world.isCommitInFlight(RecordName.of(RecordKind.JOB, request.job()));
        boolean submit = request.request().kind() == JobRequestKind.SUBMIT;
        if (submit && unreachable && !inFlight) {
            JobLifecycle.removeUnstored(tick, request.job());
            respond(tick, request, JobResponseKind.UNAVAILABLE, "store-away");
        } else if (ageMs > UNKNOWN_AFTER_MS) {
            respond(tick, request, JobResponseKind.UNKNOWN, "store-silent");
        }
    }

    /** Drops a commit that had no effect; its changes go into the next commits. */
    private static void drop(SchedulerTick tick, CommitRow commit) {
        tick.world().commits().remove(commit.id());
        for (RecordWrite write : commit.writes()) {
            if (write.record() instanceof StoredRecord.Job job) {
                removeIfUnstorable(tick, job.id());
            }
        }
    }

    /** Removes a job that is not stored, if no commit in flight or submission can store it. */
    private static void removeIfUnstorable(SchedulerTick tick, String id) {
        SchedulerWorld world = tick.world();
        boolean unstored = world.jobs().find(id).filter(j -> !j.stored()).isPresent();
        if (unstored
                && !isSubmissionWaiting(world, id)
                && !world.isCommitInFlight(RecordName.of(RecordKind.JOB, id))) {
            JobLifecycle.removeUnstored(tick, id);
        }
    }

    static boolean isSubmissionWaiting(SchedulerWorld world, String job) {
        return JobLifecycle.requestsAwaitingStore(world, job).stream()
                .anyMatch(p -> p.request().kind() == JobRequestKind.SUBMIT);
    }

    private static void respond(
            SchedulerTick tick, PendingRequestRow request, JobResponseKind kind, String reason) {
        tick.world().pendingRequests().remove(request.callId());
        tick.log("refused", "job=" + request.job() + " kind=" + kind + " reason=" + reason);
        tick.count("refused." + reason);
        long afterMs =
                OutageRetry.afterMs(
                        tick.world().storeHealth().get(), tick.nowMs(), request.job().hashCode());
        tick.emit(request.respond(JobResponse.refusal(kind, afterMs, reason)));
        removeIfUnstorable(tick, request.job());
    }
}
