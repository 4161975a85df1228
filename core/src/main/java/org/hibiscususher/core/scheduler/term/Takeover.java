package org.hibiscususher.core.scheduler.term;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.scheduler.executor.HeartbeatSystem;
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
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerTiming;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;
import org.hibiscususher.core.scheduler.world.TaskRow;
import org.hibiscususher.core.scheduler.world.TermRow;
import org.hibiscususher.core.scheduler.world.TermStage;

/** Builds the tables of a new owner from the store's records. */
final class Takeover {
    private static final long SLACK_MS = 100;

    private Takeover() {}

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
                world.jobs().put(job.id(), row(tick, job));
            }
        }
        for (LoadedRecord loaded : records) {
            loaded.record().ifPresent(record -> take(tick, record));
        }
        TermRow term = world.term().get();
        world.term().set(term.withCall(TermStage.OWNING, 0, 0));
        for (JobRow job : world.jobs().rows()) {
            JobLifecycle.activateDueOccurrences(tick, job.id());
        }
        world.ownershipClaim()
                .get()
                .unsettled()
                .ifPresent(open -> clearDoubt(world, new HashSet<>(open)));
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

    /** Frees tasks of which the earlier owner told that nothing is open. */
    private static void clearDoubt(SchedulerWorld world, Set<String> open) {
        for (TaskRow task : world.tasks().rows()) {
            if (!open.contains(task.key().text()) && !open.contains(task.key().jobId())) {
                world.tasks().put(task.key(), task.asCertain());
            }
        }
    }

    private static JobRow row(SchedulerTick tick, StoredRecord.Job job) {
        long ageMs = Math.max(0, tick.wallMs() - job.acceptedMs());
        return new JobRow(
                job.id(),
                job.policy(),
                job.team(),
                job.spec(),
                job.acceptedMs(),
                tick.nowMs() - ageMs,
                JobState.QUEUED,
                true,
                JobState.QUEUED,
                0,
                0,
                tick.nowMs(),
                job.spec().steps().size() * job.spec().occurrences(),
                true,
                0);
    }

    private static void take(SchedulerTick tick, StoredRecord record) {
        SchedulerWorld world = tick.world();
        if (record instanceof StoredRecord.Progress progress) {
            JobProgress.restore(tick, progress);
        } else if (record instanceof StoredRecord.Executors executors) {
            world.usedExecutors().set(executors);
            executors.executors().forEach(e -> prior(tick, e));
        } else if (record instanceof StoredRecord.HostOrders orders) {
            world.recordedHostOrders().set(orders);
            orders.hosts().forEach(host -> rest(tick, host));
        } else if (record instanceof StoredRecord.Wave wave) {
            world.waves()
                    .update(
                            wave.wave(),
                            row -> row.withStartedHosts(new HashSet<>(wave.startedHosts())));
        }
    }

    /** Gives no orders for a host for which the earlier owner may have given one just now. */
    private static void rest(SchedulerTick tick, String host) {
        SchedulerWorld world = tick.world();
        long untilMs =
                world.term().get().startedAtMs() + world.settings().timing().hostOrderGapMs();
        world.hostOrders().put(host, new HostOrderRow(host, true, untilMs, tick.nowMs()));
    }

    private static void prior(SchedulerTick tick, UsedExecutor used) {
        SchedulerWorld world = tick.world();
        ExecutorReport report =
                new ExecutorReport(
                        used.id(), used.pool(), "", "", "", List.of(), Resources.NONE, true, 0, 0);
        ExecutorReport known =
                world.executors().find(used.id()).map(ExecutorRow::report).orElse(report);
        long missingMs = known.address().isEmpty() ? tick.nowMs() : 0;
        world.executors()
                .put(
                        used.id(),
                        new ExecutorRow(known, tick.nowMs(), missingMs, true, true, false, 0));
        ExecutorSessionRow contact =
                world.executorSessions()
                        .find(used.id())
                        .orElse(ExecutorSessionRow.initial(used.id(), 0));
        world.executorSessions().put(used.id(), contact.withLeaseExtendedTo(waitUntilMs(tick)));
    }

    /** Waits less for executors out of reach, now that the earlier owner gives no more orders. */
    static void shortenWaits(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        long untilMs = waitUntilMs(tick);
        for (ExecutorRow row : world.executors().rows()) {
            if (row.inherited()) {
                world.executorSessions().update(row.id(), c -> c.withLeaseEndAt(untilMs));
            }
        }
    }

    /** Returns until when a silent executor may run what an earlier owner started. */
    private static long waitUntilMs(SchedulerTick tick) {
        SchedulerTiming timing = tick.world().settings().timing();
        TermRow term = tick.world().term().get();
        long holdMs =
                timing.executorLeaseMs() * 100 / HeartbeatSystem.MIN_CLOCK_RATE_PERCENT + SLACK_MS;
        return term.startedAtMs()
                + holdMs
                + (term.predecessorReleased() ? 0 : timing.ownerGraceMs());
    }
}
