package org.hibiscususher.core.scheduler.estimate;

import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.hibiscususher.core.scheduler.message.RecordName;
import org.hibiscususher.core.scheduler.message.RunTimeSamples;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.world.RunTimeRecordRow;
import org.hibiscususher.core.scheduler.world.RunTimeRow;
import org.hibiscususher.core.scheduler.world.SchedulerTick;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;

/** Queues the record of run times to be stored after a prediction has changed. */
public final class RunTimeRecordSystem {
    /** Shortest time between two writes, in milliseconds; each is priced. */
    static final long WRITE_INTERVAL_MS = 5_000;

    /**
     * Most rows in the record, those sampled last. The record shares a commit with others, so it
     * must not grow with what callers submit.
     */
    static final int MAX_STORED_ROWS = 128;

    /** Longest image and queue of a row that is stored, in characters. */
    private static final int MAX_KEY_LENGTH = 200;

    private RunTimeRecordSystem() {}

    /** Queues the record if it has changed and the last write is long enough ago. */
    public static void run(SchedulerTick tick) {
        SchedulerWorld world = tick.world();
        RunTimeRecordRow row = world.runTimeRecord().get();
        boolean due = row.queuedMs() == 0 || tick.nowMs() - row.queuedMs() >= WRITE_INTERVAL_MS;
        if (world.term().get().isScheduling() && row.changed() && due) {
            world.pendingRecords().put(RecordName.RUN_TIMES, toRecord(world));
            world.runTimeRecord().set(new RunTimeRecordRow(false, tick.nowMs()));
        }
    }

    private static StoredRecord.RunTimes toRecord(SchedulerWorld world) {
        List<RunTimeSamples> rows =
                storable(world)
                        .sorted(Comparator.comparingLong(RunTimeRow::sampledMs))
                        .map(row -> new RunTimeSamples(row.key(), row.samples()))
                        .toList();
        return new StoredRecord.RunTimes(
                rows.subList(Math.max(0, rows.size() - MAX_STORED_ROWS), rows.size()));
    }

    /** Returns the rows with enough samples and a key short enough to store. */
    private static Stream<RunTimeRow> storable(SchedulerWorld world) {
        return world.runTimes().rows().stream()
                .filter(row -> row.prediction().isSupported())
                .filter(
                        row ->
                                row.key().image().length() + row.key().queue().length()
                                        <= MAX_KEY_LENGTH);
    }
}
