package org.hibiscususher.core.scheduler.term;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.scheduler.estimate.RunTimes;
import org.hibiscususher.core.scheduler.executor.HeartbeatSystem;
import org.hibiscususher.core.scheduler.job.JobCancellations;
import org.hibiscususher.core.scheduler.job.JobLifecycle;
import org.hibiscususher.core.scheduler.job.JobProgress;
import org.hibiscususher.core.scheduler.message.ExecutorReport;
import org.hibiscususher.core.scheduler.message.LoadedRecord;
import org.hibiscususher.core.scheduler.message.RecordKind;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.message.UsedExecutor;
import org.hibiscususher.core.scheduler.world.ExecutorRow;
import org.hibiscususher.core.scheduler.world.ExecutorSessionRow;
import org.hibiscususher.core.scheduler.world.HostOrderRow;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.OwnershipClaimRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TaskRow;
import org.hibiscususher.core.scheduler.world.TermRow;
import org.hibiscususher.core.scheduler.world.TermStage;

/**
 * Rebuilds the owner's tables from the stored records after a process has become the owner.
 *
 * <p>Runs that an earlier owner started may still be under way, also on executors that this owner
 * can't reach. Their tasks are restored as uncertain and must not be started again before the
 * executor's lease from the earlier owner has expired; otherwise a task could run twice.
 */
final class Takeover {
    /** Allowance on top of the longest time that an executor's lease can last. */
    private static final long LEASE_SLACK_MS = 100;

    private Takeover() {}

    /**
     * Fills the tables and moves the term to the stage OWNING.
     *
     * @param records all records of jobs, executors and waves; those that could not be decoded have
     *     no content and are only logged
     */
    static void restore(SchedulerTick tick, List<LoadedRecord> records) {
        SchedulerWorld world = tick.world();
        for (LoadedRecord loaded : records) {
            if (loaded.name().kind() != RecordKind.TERM) {
                world.revisions().put(loaded.name(), loaded.revision());
            }
            if (loaded.record().isEmpty()) {
                tick.log("record-unreadable", "name=" + loaded.name());
            }
        }
        for (LoadedRecord loaded : records) {
            if (loaded.record().orElse(null) instanceof StoredRecord.Job job) {
                restoreJob(tick, job);
            }
        }
        // Progress records need the rows of their jobs, which the loop above has added.
        for (LoadedRecord loaded : records) {
            String part = "restore-" + loaded.name().kind();
            loaded.record().ifPresent(r -> tick.attempt(part, () -> restoreRecord(tick, r)));
        }
        TermRow term = world.term().get();
        world.term().set(term.withCall(TermStage.OWNING, 0, 0));
        for (JobRow job : world.jobs().rows()) {
            tick.attempt(
                    "restore-occurrences",
                    () -> JobLifecycle.activateDueOccurrences(tick, job.id()));
        }
        world.ownershipClaim()
                .get()
                .unsettled()
                .ifPresent(unsettled -> clearUncertain(world, new HashSet<>(unsettled)));
        tick.log(
                "takeover",
                "generation="
                        + term.generation()
                        + " jobs="
                        + world.jobs().size()
                        + " executors="
                        + world.executors().size()
                        + " took_ms="
                        + (tick.nowMs() - term.startedAtMs()));
    }

    /** Adds the row of a job, unless its steps contradict each other: no task of it could start. */
    private static void restoreJob(SchedulerTick tick, StoredRecord.Job job) {
        String error = job.spec().validationError();
        if (error.isEmpty()) {
            tick.world().jobs().put(job.id(), toRow(tick, job));
        } else {
            tick.log("record-invalid", "job=" + job.id() + " cause=\"" + error + "\"");
            tick.count("record-invalid");
        }
    }

    /**
     * Marks as certain all tasks that the earlier owner did not report as unsettled on its release.
     *
     * @param unsettled text of task keys, and ids of jobs all of whose tasks are unsettled
     */
    private static void clearUncertain(SchedulerWorld world, Set<String> unsettled) {
        for (TaskRow task : world.tasks().rows()) {
            if (!unsettled.contains(task.key().text()) && !unsettled.contains(task.key().jobId())) {
                world.tasks().put(task.key(), task.asCertain());
            }
        }
    }

    private static JobRow toRow(SchedulerTick tick, StoredRecord.Job job) {
        long ageMs = Math.max(0, tick.wallMs() - job.acceptedMs());
        return JobRow.inherited(job, tick.nowMs() - ageMs, tick.nowMs());
    }

    private static void restoreRecord(SchedulerTick tick, StoredRecord record) {
        SchedulerWorld world = tick.world();
        if (record instanceof StoredRecord.Progress progress) {
            JobProgress.restore(tick, progress);
        } else if (record instanceof StoredRecord.Cancellation cancellation) {
            JobCancellations.restore(tick, cancellation);
        } else if (record instanceof StoredRecord.Executors executors) {
            world.usedExecutors().set(executors);
            executors.executors().forEach(e -> inheritExecutor(tick, e));
        } else if (record instanceof StoredRecord.HostOrders orders) {
            world.recordedHostOrders().set(orders);
            orders.hosts().forEach(host -> delayHostOrders(tick, host));
        } else if (record instanceof StoredRecord.RunTimes runTimes) {
            RunTimes.restore(tick, runTimes);
        } else if (record instanceof StoredRecord.Wave wave) {
            world.waves()
                    .update(
                            wave.wave(),
                            row -> row.withStartedHosts(new HashSet<>(wave.startedHosts())));
        }
    }

    /**
     * Delays orders for a host for which the earlier owner may have sent one shortly before the
     * takeover, so that the two orders don't overlap.
     */
    private static void delayHostOrders(SchedulerTick tick, String host) {
        SchedulerWorld world = tick.world();
        long untilMs =
                world.term().get().startedAtMs() + world.settings().timing().hostOrderGapMs();
        world.hostOrders().put(host, new HostOrderRow(host, true, untilMs, tick.nowMs()));
    }

    /**
     * Adds an executor on which an earlier owner may have started runs. An executor whose report
     * has not been seen yet gets a placeholder without capacity and counts as missing.
     */
    private static void inheritExecutor(SchedulerTick tick, UsedExecutor used) {
        SchedulerWorld world = tick.world();
        ExecutorReport placeholder =
                new ExecutorReport(
                        used.id(), used.pool(), "", "", "", List.of(), Resources.NONE, true, 0, 0);
        ExecutorReport report =
                world.executors().find(used.id()).map(ExecutorRow::report).orElse(placeholder);
        long missingSinceMs = report.address().isEmpty() ? tick.nowMs() : 0;
        world.executors()
                .put(
                        used.id(),
                        new ExecutorRow(
                                report, tick.nowMs(), missingSinceMs, true, true, false, 0));
        ExecutorSessionRow session =
                world.executorSessions()
                        .find(used.id())
                        .orElse(ExecutorSessionRow.initial(used.id(), 0));
        world.executorSessions()
                .put(used.id(), session.withLeaseExtendedTo(inheritedLeaseEndMs(tick)));
    }

    /**
     * Takes the grace period off the lease ends of inherited executors, after the earlier owner has
     * confirmed that it sends no more orders. It may have sent some until now. An executor that has
     * answered this owner keeps the lease end that this owner's own orders may have brought.
     */
    static void shortenLeaseWaits(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        long graceEndMs =
                world.term().get().startedAtMs() + world.ownershipClaim().get().earlierGraceMs();
        long untilMs = Math.max(tick.nowMs(), graceEndMs) + longestLeaseMs(tick);
        for (ExecutorRow row : world.executors().rows()) {
            ExecutorSessionRow session = world.executorSessions().find(row.id()).orElse(null);
            if (row.inherited() && session != null && session.lastAnswerMs() == 0) {
                long endMs = Math.min(session.leaseEndMs(), untilMs);
                world.executorSessions().put(row.id(), session.withLeaseEndAt(endMs));
            }
        }
    }

    /**
     * Returns until when an unreachable executor may still run tasks of an earlier owner, on the
     * steady clock.
     *
     * <p>Each earlier owner may have sent the executor an order just before this term started and,
     * unless it is known to have stopped, may do so for its grace period after that.
     */
    private static long inheritedLeaseEndMs(SchedulerTick tick) {
        TermRow term = tick.world().term().get();
        OwnershipClaimRow claim = tick.world().ownershipClaim().get();
        long predecessorMs = term.predecessorReleased() ? 0 : claim.predecessorGraceMs();
        return term.startedAtMs()
                + Math.max(predecessorMs, claim.earlierGraceMs())
                + longestLeaseMs(tick);
    }

    /**
     * Returns for how long an order of an earlier owner may hold an executor's runs. Its clock may
     * be slower than this one, and it may have restarted unseen just before: the deadline of the
     * order is then far ahead of its clock, and the longest lease counts.
     */
    private static long longestLeaseMs(SchedulerTick tick) {
        long maxLeaseMs = tick.world().settings().timing().maxExecutorLeaseMs();
        return maxLeaseMs * 100 / HeartbeatSystem.MIN_CLOCK_RATE_PERCENT + LEASE_SLACK_MS;
    }
}
