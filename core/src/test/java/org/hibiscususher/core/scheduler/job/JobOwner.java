package org.hibiscususher.core.scheduler.job;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.hibiscususher.core.job.JobConfiguration;
import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobPool;
import org.hibiscususher.core.job.JobQueue;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobRequestKind;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.JobTeam;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.SchedulerWorlds;
import org.hibiscususher.core.scheduler.control.Scheduler;
import org.hibiscususher.core.scheduler.message.LoadedRecord;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.Committed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ConfigurationUpdated;
import org.hibiscususher.core.scheduler.message.SchedulerInput.RecordsLoaded;
import org.hibiscususher.core.scheduler.message.SchedulerInput.RequestReceived;
import org.hibiscususher.core.scheduler.message.SchedulerOutput;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Commit;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Respond;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.StartRun;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.SchedulerSettings;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerTiming;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TermRow;
import org.hibiscususher.core.scheduler.world.TermStage;

/** The scheduler of an owner that has one executor, driven tick by tick. */
final class JobOwner {
    static final String JOB = "0000000000000001";
    static final JobSpec SPEC =
            JobSpec.once("x", List.of(StepSpec.of(1, Resources.of(1, 1, 0), 100, List.of())));

    private static final long START_MS = 10_000;
    private static final long FENCE = 5;

    /** Arrival time of requests, which counts as that of the tick that handles them. */
    private static final long ON_TICK_MS = Long.MAX_VALUE;

    private static final long LOAD_CALL_ID = 9;
    private static final long COMMIT_GAP_MS = 30;
    private static final long LONG_LEASE_MS = 600_000;

    private final Scheduler mScheduler =
            Scheduler.create(
                    new SchedulerSettings("n", 1, "n", List.of(), 0, SchedulerTiming.DEFAULT));
    private final SchedulerWorld mWorld = mScheduler.world();
    private final List<SchedulerOutput> mOutputs = new ArrayList<>();
    private long mNowMs = START_MS;
    private final Set<Long> mStored = new HashSet<>();
    private long mRevision = 100;
    private long mVersion;

    private JobOwner(TermStage stage) {
        setTerm(stage, LONG_LEASE_MS);
    }

    /** Creates an owner of a queue "q" under the prefix "/q/". */
    static JobOwner create() {
        JobOwner owner = new JobOwner(TermStage.OWNING);
        owner.configure(queue("q", "/q/"));
        SchedulerWorlds.addExecutor(
                owner.mWorld, "x", "p", Resources.of(9_000, 9, 0), owner.mNowMs);
        owner.mWorld
                .executorSessions()
                .update(
                        "x",
                        session ->
                                session.withHeartbeatSent(1, FENCE, owner.mNowMs, 0)
                                        .withHeartbeatAnswered(1, 1, owner.mNowMs));
        return owner;
    }

    /** Creates the owner that takes over from another one, of which it knows the records. */
    static JobOwner takeOver(JobQueue queue, List<StoredRecord> records) {
        JobOwner owner = new JobOwner(TermStage.LOADING);
        owner.configure(queue);
        List<LoadedRecord> loaded =
                records.stream().map(r -> new LoadedRecord(r.name(), 3, Optional.of(r))).toList();
        owner.tick(10, new RecordsLoaded(LOAD_CALL_ID, loaded));
        return owner;
    }

    /** Returns a queue of the pool of the executor. */
    static JobQueue queue(String name, String prefix) {
        return queue(name, prefix, "p");
    }

    static JobQueue queue(String name, String prefix, String pool) {
        return new JobQueue("host", prefix, true, new JobPolicy(name, pool, 0, 3, 2, 500, false));
    }

    /** Puts a configuration with these queues and their pools alone in force. */
    void configure(JobQueue... queues) {
        mVersion++;
        JobConfiguration configuration =
                new JobConfiguration(
                        mVersion,
                        List.of(queues),
                        pools(queues),
                        List.of(new JobTeam("t", 1, Resources.NONE, Set.of("key"))));
        tick(0, new ConfigurationUpdated(configuration, mVersion));
    }

    private static List<JobPool> pools(JobQueue... queues) {
        return Arrays.stream(queues)
                .map(queue -> queue.policy().pool())
                .distinct()
                .map(pool -> new JobPool(pool, true, false))
                .toList();
    }

    void setLeaseLeft(long leftMs) {
        setTerm(TermStage.OWNING, leftMs);
    }

    private void setTerm(TermStage stage, long leftMs) {
        long callId = stage == TermStage.LOADING ? LOAD_CALL_ID : 0;
        mWorld.term()
                .set(
                        new TermRow(
                                stage,
                                2,
                                FENCE,
                                7,
                                mNowMs + leftMs,
                                START_MS,
                                callId,
                                mNowMs,
                                0,
                                false,
                                true));
    }

    SchedulerWorld world() {
        return mWorld;
    }

    long nowMs() {
        return mNowMs;
    }

    void tick(long afterMs, SchedulerInput... inputs) {
        mNowMs += afterMs;
        mOutputs.addAll(mScheduler.tick(mNowMs, mNowMs, List.of(inputs)));
    }

    /** Returns a tick without inputs, to change the tables directly. */
    SchedulerTick emptyTick() {
        return new SchedulerTick(mWorld, mNowMs, mNowMs, List.of(), () -> 1);
    }

    /** Lets the store carry out all commits, after some time, until there are no more. */
    void storeCommits(long afterMs) {
        tick(afterMs);
        List<Commit> open = openCommits();
        while (!open.isEmpty()) {
            for (Commit commit : open) {
                mStored.add(commit.callId());
                tick(1, new Committed(commit.callId(), ++mRevision));
            }
            tick(COMMIT_GAP_MS);
            open = openCommits();
        }
    }

    private List<Commit> openCommits() {
        return outputs(Commit.class)
                .filter(c -> !mStored.contains(c.callId()))
                .filter(c -> isInFlight(c.callId()))
                .toList();
    }

    private boolean isInFlight(long callId) {
        return mWorld.commits().rows().stream().anyMatch(c -> c.callId() == callId);
    }

    /** Submits a job, which the store holds then. */
    void accept(long callId, String path) {
        tick(10, request(callId, JobRequestKind.SUBMIT, path));
        storeCommits(10);
    }

    /** Returns a request to the queue under "/q/". */
    static RequestReceived requestFor(long callId, JobRequestKind kind, String job) {
        return request(callId, kind, "/q/" + job);
    }

    static RequestReceived request(long callId, JobRequestKind kind, String path) {
        Optional<JobSpec> spec =
                kind == JobRequestKind.SUBMIT ? Optional.of(SPEC) : Optional.empty();
        return new RequestReceived(
                callId, JobRequest.of(kind, "host", path, "key", spec), ON_TICK_MS);
    }

    /** Sends a request and returns its response, which must come at once. */
    JobResponse ask(long callId, JobRequestKind kind, String path) {
        tick(10, request(callId, kind, path));
        return response(callId).orElseThrow();
    }

    /** Returns the kind of the response to a call; empty if it has none yet. */
    Optional<JobResponseKind> responseTo(long callId) {
        return response(callId).map(JobResponse::kind);
    }

    private Optional<JobResponse> response(long callId) {
        return mOutputs.stream()
                .filter(o -> o instanceof Respond respond && respond.callId() == callId)
                .map(o -> ((Respond) o).response())
                .findFirst();
    }

    Commit lastCommit() {
        return outputs(Commit.class).reduce((first, second) -> second).orElseThrow();
    }

    /** Returns the records written by all commits, in order. */
    List<StoredRecord> writtenRecords() {
        return outputs(Commit.class)
                .flatMap(c -> c.writes().stream())
                .map(write -> write.record())
                .toList();
    }

    boolean startsRuns() {
        return outputs(StartRun.class).findAny().isPresent();
    }

    boolean startsRunOf(String job) {
        return outputs(StartRun.class).anyMatch(start -> start.task().jobId().equals(job));
    }

    private <T extends SchedulerOutput> Stream<T> outputs(Class<T> type) {
        return mOutputs.stream().filter(type::isInstance).map(type::cast);
    }
}
