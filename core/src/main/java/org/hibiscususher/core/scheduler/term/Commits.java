package org.hibiscususher.core.scheduler.term;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.scheduler.job.JobCancellations;
import org.hibiscususher.core.scheduler.job.JobLifecycle;
import org.hibiscususher.core.scheduler.job.JobProgress;
import org.hibiscususher.core.scheduler.message.RecordGuard;
import org.hibiscususher.core.scheduler.message.RecordKind;
import org.hibiscususher.core.scheduler.message.RecordName;
import org.hibiscususher.core.scheduler.message.RecordWrite;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.CancellationRow;
import org.hibiscususher.core.scheduler.world.CommitPurpose;
import org.hibiscususher.core.scheduler.world.CommitRow;
import org.hibiscususher.core.scheduler.world.HostOrderRow;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.SchedulerSettings;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.StoreState;
import org.hibiscususher.core.scheduler.world.TaskRow;
import org.hibiscususher.core.scheduler.world.TermRow;
import org.hibiscususher.core.scheduler.world.TermStage;
import org.hibiscususher.core.scheduler.world.UncertainStartRow;

/** Builds commits from the changes that have to be stored, and updates the tables afterwards. */
final class Commits {
    /**
     * Most records in a commit: each needs a condition and a write, of the 32 entries that the
     * store accepts in a transaction.
     */
    private static final int MAX_RECORDS = 13;

    /** Time for which progress of a job is batched before it is stored, in milliseconds. */
    private static final long PROGRESS_DELAY_MS = 60;

    private Commits() {}

    /**
     * Returns the next commit, or empty if nothing has to be stored now. It names no record of a
     * commit in flight.
     *
     * <p>What callers wait for comes first: new jobs, cancellations of unknown jobs, then jobs that
     * have reached a final state. Records are removed only if there is nothing to write.
     */
    static Optional<CommitRow> next(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        Set<RecordName> inFlight = recordsInFlight(world);
        List<StoredRecord> records = new ArrayList<>();
        Map<String, Long> versions = new HashMap<>();
        boolean releasing = world.term().get().stage() == TermStage.RELEASING;
        addNewJobs(world, inFlight, records);
        addCancellations(world, inFlight, records);
        addProgress(tick, inFlight, records, versions, JobState::isFinal, 0);
        addPendingRecords(world, inFlight, records);
        addProgress(
                tick, inFlight, records, versions, s -> true, releasing ? 0 : PROGRESS_DELAY_MS);
        List<RecordName> removals = new ArrayList<>();
        if (records.isEmpty()) {
            removals.addAll(removableRecords(world, inFlight));
        }
        CommitRow commit = toCommit(tick, records, versions, removals);
        if (releasing) {
            return Optional.of(toRelease(tick, commit));
        }
        return records.isEmpty() && removals.isEmpty() ? Optional.empty() : Optional.of(commit);
    }

    private static Set<RecordName> recordsInFlight(SchedulerWorld world) {
        Set<RecordName> names = new HashSet<>();
        for (CommitRow commit : world.commits().rows()) {
            names.addAll(commit.removals());
            commit.writes().forEach(write -> names.add(write.record().name()));
        }
        return names;
    }

    /** Returns whether the new jobs that no commit in flight stores fill a commit. */
    static boolean isBatchFull(SchedulerWorld world) {
        if (world.jobs().group(StoreState.UNSTORED).size() < MAX_RECORDS) {
            return false;
        }
        List<StoredRecord> records = new ArrayList<>();
        addNewJobs(world, recordsInFlight(world), records);
        return records.size() >= MAX_RECORDS;
    }

    private static void addNewJobs(
            SchedulerWorld world, Set<RecordName> inFlight, List<StoredRecord> records) {
        for (JobRow job : world.jobs().group(StoreState.UNSTORED)) {
            if (records.size() >= MAX_RECORDS) {
                return;
            }
            if (!inFlight.contains(job.record().name())
                    && CommitSystem.isSubmissionWaiting(world, job.id())) {
                records.add(job.record());
            }
        }
    }

    private static void addCancellations(
            SchedulerWorld world, Set<RecordName> inFlight, List<StoredRecord> records) {
        for (CancellationRow row : world.cancellations().rows()) {
            if (records.size() >= MAX_RECORDS) {
                return;
            }
            if (!row.stored() && !inFlight.contains(row.record().name())) {
                records.add(row.record());
            }
        }
    }

    /**
     * Adds the progress of jobs that have changed.
     *
     * @param inFlight records to leave out
     * @param versions receives the version of each job that was added, by job id
     * @param states which states of jobs to include
     * @param minAgeMs how long a change must have waited, in milliseconds
     */
    private static void addProgress(
            SchedulerTick tick,
            Set<RecordName> inFlight,
            List<StoredRecord> records,
            Map<String, Long> versions,
            Predicate<JobState> states,
            long minAgeMs) {
        for (JobRow job : tick.world().jobs().group(StoreState.DIRTY)) {
            if (records.size() >= MAX_RECORDS) {
                return;
            }
            boolean due = tick.nowMs() - job.dirtySinceMs() >= minAgeMs;
            if (due
                    && states.test(job.state())
                    && !versions.containsKey(job.id())
                    && !inFlight.contains(RecordName.of(RecordKind.PROGRESS, job.id()))) {
                records.add(JobProgress.toRecord(tick.world(), job));
                versions.put(job.id(), job.version());
            }
        }
    }

    /** Adds the records that are not of jobs. One commit at a time has sequential ones. */
    private static void addPendingRecords(
            SchedulerWorld world, Set<RecordName> inFlight, List<StoredRecord> records) {
        boolean othersInFlight = inFlight.stream().anyMatch(name -> name.kind().isSequential());
        for (StoredRecord record : world.pendingRecords().rows()) {
            boolean mayGo =
                    record.name().kind().isSequential()
                            ? !othersInFlight
                            : !inFlight.contains(record.name());
            if (mayGo && records.size() < MAX_RECORDS) {
                records.add(record);
            }
        }
    }

    /** Returns the records whose retention has ended; both of a job or none. */
    private static List<RecordName> removableRecords(
            SchedulerWorld world, Set<RecordName> inFlight) {
        List<RecordName> names = new ArrayList<>();
        for (RecordName name : world.pendingRemovals().rows()) {
            if (names.size() < MAX_RECORDS - 1 && !inFlight.contains(name)) {
                if (name.kind() == RecordKind.PROGRESS) {
                    names.add(RecordName.of(RecordKind.JOB, name.id()));
                }
                names.add(name);
            }
        }
        return names;
    }

    private static CommitRow toCommit(
            SchedulerTick tick,
            List<StoredRecord> records,
            Map<String, Long> versions,
            List<RecordName> removals) {
        SchedulerWorld world = tick.world();
        List<RecordGuard> guards = new ArrayList<>();
        List<RecordWrite> writes = new ArrayList<>();
        guards.add(new RecordGuard(RecordName.TERM, world.term().get().fence()));
        for (StoredRecord record : records) {
            guards.add(guard(world, record.name()));
            writes.add(RecordWrite.of(record));
        }
        for (RecordName name : removals) {
            guards.add(guard(world, name));
        }
        long callId = tick.nextCallId();
        return new CommitRow(
                callId,
                CommitPurpose.RECORDS,
                callId,
                guards,
                writes,
                removals,
                versions,
                tick.nowMs(),
                0,
                false,
                1);
    }

    private static RecordGuard guard(SchedulerWorld world, RecordName name) {
        return new RecordGuard(name, world.revisions().find(name).orElse(0L));
    }

    /** Returns the given commit extended so that it also releases the ownership. */
    private static CommitRow toRelease(SchedulerTick tick, CommitRow commit) {
        TermRow term = tick.world().term().get();
        SchedulerSettings self = tick.world().settings();
        StoredRecord.Term released =
                new StoredRecord.Term(
                        term.generation(),
                        self.node(),
                        self.incarnation(),
                        true,
                        self.address(),
                        unsettled(tick.world(), commit));
        List<RecordWrite> writes = new ArrayList<>(commit.writes());
        writes.add(RecordWrite.of(released));
        return new CommitRow(
                commit.id(),
                CommitPurpose.RELEASE,
                commit.callId(),
                commit.guards(),
                writes,
                List.of(RecordName.OWNER),
                commit.versions(),
                commit.sentMs(),
                0,
                false,
                1);
    }

    /**
     * Returns what a later owner can't see from the stored records: the text of the keys of tasks
     * that have a run or may have one, and the ids of jobs with changes that are not stored.
     */
    private static List<String> unsettled(SchedulerWorld world, CommitRow commit) {
        List<String> unsettled = new ArrayList<>();
        for (RunRow run : world.runs().rows()) {
            unsettled.add(run.task().text());
        }
        for (UncertainStartRow start : world.uncertainStarts().rows()) {
            unsettled.add(start.key().task().text());
        }
        for (TaskRow task : world.tasks().rows()) {
            if (task.uncertain()) {
                unsettled.add(task.key().text());
            }
        }
        for (JobRow job : world.jobs().rows()) {
            if (job.version() > commit.versions().getOrDefault(job.id(), job.storedVersion())) {
                unsettled.add(job.id());
            }
        }
        return unsettled;
    }

    /**
     * Updates the tables after a record has been stored.
     *
     * @param versions versions of the jobs whose progress the commit wrote, by job id
     */
    static void applyStored(SchedulerTick tick, StoredRecord record, Map<String, Long> versions) {
        SchedulerWorld world = tick.world();
        if (record instanceof StoredRecord.Job job) {
            JobLifecycle.markStored(tick, job.id());
        } else if (record instanceof StoredRecord.Progress progress) {
            JobLifecycle.markProgressStored(
                    tick, progress, versions.getOrDefault(progress.id(), 0L));
        } else if (record instanceof StoredRecord.Cancellation cancellation) {
            JobCancellations.markStored(tick, cancellation);
        } else {
            if (record instanceof StoredRecord.Executors executors) {
                executors
                        .executors()
                        .forEach(e -> world.executors().update(e.id(), x -> x.withRecorded(true)));
            }
            if (record instanceof StoredRecord.HostOrders orders) {
                orders.hosts().forEach(h -> world.hostOrders().update(h, HostOrderRow::asRecorded));
            }
            // A newer record of the same name may have been queued since the commit was sent.
            if (world.pendingRecords().find(record.name()).filter(r -> r == record).isPresent()) {
                world.pendingRecords().remove(record.name());
            }
        }
    }
}
