package org.hibiscususher.core.scheduler.term;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hibiscususher.core.job.JobRequestKind;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.scheduler.message.LoadedRecord;
import org.hibiscususher.core.scheduler.message.RecordKind;
import org.hibiscususher.core.scheduler.message.RecordName;
import org.hibiscususher.core.scheduler.message.RecordWrite;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.CommitConflict;
import org.hibiscususher.core.scheduler.message.SchedulerInput.CommitFailed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.Committed;
import org.hibiscususher.core.scheduler.message.SchedulerOutput;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Commit;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Respond;
import org.hibiscususher.core.scheduler.world.CommitPurpose;
import org.hibiscususher.core.scheduler.world.CommitRow;
import org.hibiscususher.core.scheduler.world.PendingRequestRow;
import org.hibiscususher.core.scheduler.world.PendingRequestStage;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StoreHealthRow;

/** Keeps one commit of records under way, and takes in what came of it. */
public final class CommitSystem {
    private static final long RETRY_MS = 150;

    /** Time after which a job that could not be stored is refused, in milliseconds. */
    private static final long REFUSE_AFTER_MS = 250;

    /** Time after which a caller is told that the outcome is not known, in milliseconds. */
    private static final long UNKNOWN_AFTER_MS = 1_200;

    private static final int FIRST_TIMEOUT_MS = 320;
    private static final int MAX_TIMEOUT_MS = 1_500;
    private static final long RETRY_AFTER_MS = 1_000;

    private CommitSystem() {}

    /** Takes in the answers to the commit that is under way. */
    public static void handleResults(SchedulerTick tick) {
        for (SchedulerInput input : tick.inputs()) {
            long awaited = tick.world().commit().get().map(CommitRow::callId).orElse(0L);
            if (input instanceof Committed done && done.callId() == awaited) {
                committed(tick, done.revision(), Map.of());
            } else if (input instanceof CommitConflict conflict && conflict.callId() == awaited) {
                conflict(tick, conflict.current());
            } else if (input instanceof CommitFailed failed && failed.callId() == awaited) {
                failed(tick, failed);
            }
        }
        giveUpWaiting(tick);
    }

    /** Sends the next commit, or the one under way again. */
    public static void send(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        if (!world.term().get().isScheduling()) {
            return;
        }
        Optional<CommitRow> under = world.commit().get();
        StoreHealthRow store = world.storeHealth().get();
        boolean resting = store.isFailing() && tick.nowMs() - store.lastFailureMs() < RETRY_MS;
        if (under.isEmpty() && !resting) {
            Commits.next(tick).ifPresent(commit -> emit(tick, commit));
        } else if (under.isPresent()
                && under.get().retryAtMs() != 0
                && tick.nowMs() >= under.get().retryAtMs()) {
            emit(tick, under.get().withRetry(tick.nextCallId()));
        }
    }

    private static void emit(SchedulerTick tick, CommitRow commit) {
        tick.world().commit().set(Optional.of(commit));
        tick.emit(
                new Commit(
                        commit.callId(),
                        commit.guards(),
                        commit.writes(),
                        commit.removals(),
                        timeoutMs(commit.attempts())));
    }

    /** Returns how long an answer is awaited: longer with each try, in case the store is slow. */
    private static int timeoutMs(int tries) {
        return Math.min(MAX_TIMEOUT_MS, FIRST_TIMEOUT_MS << Math.min(tries - 1, 3));
    }

    private static void committed(
            SchedulerTick tick, long revision, Map<RecordName, Long> revisions) {
        SchedulerWorld world = tick.world();
        CommitRow commit = world.commit().get().orElseThrow();
        world.commit().set(Optional.empty());
        world.storeHealth().set(world.storeHealth().get().withSuccess(tick.nowMs()));
        tick.emit(new SchedulerOutput.Measure("store.commit", tick.nowMs() - commit.sentMs()));
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

    private static void conflict(SchedulerTick tick, List<LoadedRecord> current) {
        SchedulerWorld world = tick.world();
        CommitRow commit = world.commit().get().orElseThrow();
        Map<RecordName, Long> revisions = new HashMap<>();
        current.forEach(record -> revisions.put(record.name(), record.revision()));
        long fence = world.term().get().fence();
        if (revisions.getOrDefault(RecordName.TERM, fence) != fence) {
            StepDown.run(tick, "later-term");
        } else if (commit.uncertain()) {
            committed(tick, 0, revisions);
        } else {
            tick.log("commit-conflict", "records=" + revisions);
            revisions.forEach((name, revision) -> world.revisions().put(name, revision));
            world.commit().set(Optional.empty());
        }
    }

    private static void failed(SchedulerTick tick, CommitFailed failed) {
        SchedulerWorld world = tick.world();
        CommitRow commit = world.commit().get().orElseThrow();
        StoreHealthRow store = world.storeHealth().get();
        world.storeHealth().set(store.withFailure(tick.nowMs()));
        long restMs = failed.uncertain() ? 0 : RETRY_MS;
        CommitRow again = commit.withFailure(tick.nowMs() + restMs, failed.uncertain());
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
        world.commit().set(again.uncertain() ? Optional.of(again) : Optional.empty());
    }

    /** Answers callers whose jobs could not be stored in time. */
    private static void giveUpWaiting(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        for (PendingRequestRow call : world.pendingRequests().rows()) {
            long ageMs = tick.nowMs() - call.waitingSinceMs();
            if (call.stage() == PendingRequestStage.AWAITING_STORE && ageMs > REFUSE_AFTER_MS) {
                giveUp(tick, call, ageMs);
            }
        }
    }

    private static void giveUp(SchedulerTick tick, PendingRequestRow call, long ageMs) {
        SchedulerWorld world = tick.world();
        boolean failing = world.storeHealth().get().isUnreachable(tick.nowMs());
        boolean sent = isUnderWay(world, call.job());
        boolean submit = call.request().kind() == JobRequestKind.SUBMIT;
        if (submit && failing && !sent) {
            world.jobs().remove(call.job());
            answer(tick, call, JobResponseKind.UNAVAILABLE, "store-away");
        } else if (ageMs > UNKNOWN_AFTER_MS) {
            answer(tick, call, JobResponseKind.UNKNOWN, "store-silent");
        }
    }

    private static boolean isUnderWay(SchedulerWorld world, String job) {
        RecordName name = RecordName.of(RecordKind.JOB, job);
        return world.commit().get().stream()
                .flatMap(c -> c.writes().stream())
                .anyMatch(w -> w.record().name().equals(name));
    }

    private static void answer(
            SchedulerTick tick, PendingRequestRow call, JobResponseKind kind, String reason) {
        tick.world().pendingRequests().remove(call.callId());
        tick.log("refused", "job=" + call.job() + " kind=" + kind + " reason=" + reason);
        tick.count("refused." + reason);
        tick.emit(new Respond(call.callId(), JobResponse.refusal(kind, RETRY_AFTER_MS, reason)));
    }
}
