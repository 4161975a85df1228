package org.hibiscususher.core.scheduler.term;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.hibiscususher.core.job.JobRequestKind;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.scheduler.job.JobLifecycle;
import org.hibiscususher.core.scheduler.job.JobProgress;
import org.hibiscususher.core.scheduler.message.RecordGuard;
import org.hibiscususher.core.scheduler.message.RecordKind;
import org.hibiscususher.core.scheduler.message.RecordName;
import org.hibiscususher.core.scheduler.message.RecordWrite;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.CommitPurpose;
import org.hibiscususher.core.scheduler.world.CommitRow;
import org.hibiscususher.core.scheduler.world.HostOrderRow;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.PendingRequestRow;
import org.hibiscususher.core.scheduler.world.PendingRequestStage;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.SchedulerSettings;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TaskRow;
import org.hibiscususher.core.scheduler.world.TermRow;
import org.hibiscususher.core.scheduler.world.TermStage;

/** Builds commits of what waits to be stored, and applies what was stored. */
final class Commits {
    /** Most records in a commit: each takes a condition and a write of the store's 32 entries. */
    private static final int MAX_RECORDS = 13;

    /** Time for which progress is collected before it is stored, in milliseconds. */
    private static final long PROGRESS_DELAY_MS = 60;

    private Commits() {}

    /** Returns the next commit, or empty if nothing has to be stored now. */
    static Optional<CommitRow> next(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        List<StoredRecord> records = new ArrayList<>();
        Map<String, Long> versions = new HashMap<>();
        boolean releasing = world.term().get().stage() == TermStage.RELEASING;
        addNewJobs(world, records);
        addProgress(tick, records, versions, JobState::isFinal, 0);
        addPending(world, records);
        addProgress(tick, records, versions, s -> true, releasing ? 0 : PROGRESS_DELAY_MS);
        List<RecordName> removals = new ArrayList<>();
        if (records.isEmpty()) {
            removals.addAll(removable(world));
        }
        CommitRow commit = commit(tick, records, versions, removals);
        if (releasing) {
            return Optional.of(release(tick, commit));
        }
        return records.isEmpty() && removals.isEmpty() ? Optional.empty() : Optional.of(commit);
    }

    private static void addNewJobs(SchedulerWorld world, List<StoredRecord> records) {
        for (PendingRequestRow call : world.pendingRequests().rows()) {
            if (records.size() >= MAX_RECORDS) {
                return;
            }
            if (call.stage() == PendingRequestStage.AWAITING_STORE
                    && call.request().kind() == JobRequestKind.SUBMIT) {
                world.jobs()
                        .find(call.job())
                        .filter(j -> !j.stored())
                        .map(Commits::record)
                        .filter(r -> !records.contains(r))
                        .ifPresent(records::add);
            }
        }
    }

    private static StoredRecord record(JobRow job) {
        return new StoredRecord.Job(
                job.id(), job.policy(), job.team(), job.spec(), job.acceptedWallMs());
    }

    private static void addProgress(
            SchedulerTick tick,
            List<StoredRecord> records,
            Map<String, Long> versions,
            Predicate<JobState> states,
            long delayMs) {
        for (JobRow job : tick.world().jobs().rows()) {
            if (records.size() >= MAX_RECORDS) {
                return;
            }
            boolean due = tick.nowMs() - job.dirtySinceMs() >= delayMs;
            if (job.stored()
                    && job.isDirty()
                    && due
                    && states.test(job.state())
                    && !versions.containsKey(job.id())) {
                records.add(JobProgress.toRecord(tick.world(), job));
                versions.put(job.id(), job.version());
            }
        }
    }

    private static void addPending(SchedulerWorld world, List<StoredRecord> records) {
        for (StoredRecord record : world.pendingRecords().rows()) {
            if (records.size() < MAX_RECORDS) {
                records.add(record);
            }
        }
    }

    private static List<RecordName> removable(SchedulerWorld world) {
        List<RecordName> names = new ArrayList<>();
        for (JobRow job : world.jobs().rows()) {
            RecordName progress = RecordName.of(RecordKind.PROGRESS, job.id());
            if (names.size() < MAX_RECORDS - 1 && world.pendingRemovals().contains(progress)) {
                names.add(RecordName.of(RecordKind.JOB, job.id()));
                names.add(progress);
            }
        }
        return names;
    }

    private static CommitRow commit(
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
        return new CommitRow(
                CommitPurpose.RECORDS,
                tick.nextCallId(),
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

    /** Returns a commit that gives the ownership up together with its records. */
    private static CommitRow release(SchedulerTick tick, CommitRow commit) {
        TermRow term = tick.world().term().get();
        SchedulerSettings self = tick.world().settings();
        StoredRecord.Term released =
                new StoredRecord.Term(
                        term.generation(),
                        self.node(),
                        self.incarnation(),
                        true,
                        self.address(),
                        open(tick.world(), commit));
        List<RecordWrite> writes = new ArrayList<>(commit.writes());
        writes.add(RecordWrite.of(released));
        return new CommitRow(
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

    /** Returns what a later owner can't know from the records alone. */
    private static List<String> open(SchedulerWorld world, CommitRow commit) {
        List<String> open = new ArrayList<>();
        for (RunRow run : world.runs().rows()) {
            open.add(run.task().text());
        }
        for (TaskRow task : world.tasks().rows()) {
            if (task.uncertain()) {
                open.add(task.key().text());
            }
        }
        for (JobRow job : world.jobs().rows()) {
            if (job.version() > commit.versions().getOrDefault(job.id(), job.storedVersion())) {
                open.add(job.id());
            }
        }
        return open;
    }

    /** Applies that a record is stored. */
    static void applyStored(SchedulerTick tick, StoredRecord record, Map<String, Long> versions) {
        SchedulerWorld world = tick.world();
        if (record instanceof StoredRecord.Job job) {
            JobLifecycle.markStored(tick, job.id());
        } else if (record instanceof StoredRecord.Progress progress) {
            JobLifecycle.markProgressStored(
                    tick, progress, versions.getOrDefault(progress.id(), 0L));
        } else {
            if (record instanceof StoredRecord.Executors executors) {
                executors
                        .executors()
                        .forEach(e -> world.executors().update(e.id(), x -> x.withRecorded(true)));
            }
            if (record instanceof StoredRecord.HostOrders orders) {
                orders.hosts().forEach(h -> world.hostOrders().update(h, HostOrderRow::asRecorded));
            }
            if (world.pendingRecords().find(record.name()).filter(r -> r == record).isPresent()) {
                world.pendingRecords().remove(record.name());
            }
        }
    }
}
