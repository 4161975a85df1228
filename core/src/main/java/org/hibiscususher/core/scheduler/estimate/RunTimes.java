package org.hibiscususher.core.scheduler.estimate;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.scheduler.message.RunTimeSamples;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.JobRow;
import org.hibiscususher.core.scheduler.world.RunRow;
import org.hibiscususher.core.scheduler.world.RunTimeRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;

/**
 * Predicts run times from earlier runs of similar steps.
 *
 * <p>For declared estimates that are off by a factor, which shows only in finished runs. Where they
 * hold, or little is known, the declared estimate is kept.
 */
public final class RunTimes {
    /** Most rows in the table; the one that was sampled longest ago is evicted. */
    public static final int MAX_ROWS = 512;

    private RunTimes() {}

    /** Returns what to expect of the runs of a step. */
    public static RunTimeEstimate expect(SchedulerWorld world, JobRow job, int stepNumber) {
        long declaredMs = job.spec().steps().get(stepNumber).estimateMs();
        if (world.runTimes().size() == 0) {
            return RunTimeEstimate.declared(declaredMs);
        }
        return world.runTimes()
                .find(RunTimeKey.of(job, stepNumber))
                .map(row -> row.prediction().estimate(declaredMs))
                .orElse(RunTimeEstimate.declared(declaredMs));
    }

    /**
     * Returns what similar runs on other executors let expect of a run, or empty if too few of them
     * have finished.
     */
    public static Optional<RunTimeEstimate> expectFromOthers(SchedulerWorld world, RunRow run) {
        JobRow job = world.jobs().find(run.task().jobId()).orElse(null);
        int step = run.task().stepKey().step();
        if (job == null || step >= job.spec().steps().size()) {
            return Optional.empty();
        }
        return world.runTimes()
                .find(RunTimeKey.of(job, step))
                .map(row -> row.predictionWithout(run.executor()))
                .filter(RunTimePrediction::isSupported)
                .map(others -> others.estimate(job.spec().steps().get(step).estimateMs()));
    }

    /** Returns the expected work of a step in core-milliseconds; 0 for a service step. */
    public static long workCoreMs(SchedulerWorld world, JobRow job, int stepNumber) {
        long medianMs = expect(world, job, stepNumber).medianMs();
        return job.spec().steps().get(stepNumber).workCoreMs(medianMs);
    }

    /** Returns the expected work of one occurrence of a job in core-milliseconds. */
    public static long workCoreMs(SchedulerWorld world, JobRow job) {
        long work = 0;
        for (int i = 0; i < job.spec().steps().size(); i++) {
            work += workCoreMs(world, job, i);
        }
        return work;
    }

    /** Adds a sample, and logs what it changes. */
    static void add(SchedulerTick tick, RunTimeKey key, RunTimeSample sample) {
        SchedulerWorld world = tick.world();
        RunTimeRow before =
                world.runTimes().find(key).orElse(RunTimeRow.of(key, List.of(), tick.nowMs()));
        RunTimeRow after = before.with(sample, tick.nowMs());
        boolean changed = after.prediction().differsNotably(after.published());
        world.runTimes().put(key, changed ? after.asPublished() : after);
        evictOldest(world);
        if (changed) {
            world.runTimeRecord().set(world.runTimeRecord().get().asChanged());
            logChange(tick, after);
        }
    }

    /** Restores the rows that an earlier owner stored. */
    public static void restore(SchedulerTick tick, StoredRecord.RunTimes record) {
        for (RunTimeSamples row : record.rows()) {
            tick.world()
                    .runTimes()
                    .put(row.key(), RunTimeRow.of(row.key(), row.samples(), tick.nowMs()));
            evictOldest(tick.world());
        }
        tick.log("run-times", "restored=" + record.rows().size());
    }

    private static void evictOldest(SchedulerWorld world) {
        if (world.runTimes().size() > MAX_ROWS) {
            world.runTimes().rows().stream()
                    .min(Comparator.comparingLong(RunTimeRow::sampledMs))
                    .ifPresent(row -> world.runTimes().remove(row.key()));
        }
    }

    private static void logChange(SchedulerTick tick, RunTimeRow row) {
        RunTimePrediction prediction = row.prediction();
        tick.log(
                "run-times",
                "key="
                        + row.key().text()
                        + " source="
                        + prediction.source()
                        + " samples="
                        + prediction.count()
                        + " median_ms="
                        + Math.round(prediction.medianMs())
                        + " ratio_percent="
                        + Math.round(prediction.medianRatio() * 100)
                        + " spread_percent="
                        + Math.round(prediction.spread() * 100));
        if (prediction.source() != EstimateSource.DECLARED) {
            tick.count("run-times.learned");
        }
    }
}
