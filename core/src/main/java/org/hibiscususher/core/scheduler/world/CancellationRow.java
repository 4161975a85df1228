package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.scheduler.message.StoredRecord;

/**
 * The cancellation of a job that no submission had named before. A submission of the job may still
 * wait elsewhere, so the id is kept and no job with it is accepted.
 *
 * @param record the cancellation, which the store keeps
 * @param cancelledMs since when this owner has kept it, in milliseconds of the steady clock
 * @param stored whether the store holds it
 */
public record CancellationRow(StoredRecord.Cancellation record, long cancelledMs, boolean stored) {
    /** Rejects null components. */
    public CancellationRow {
        requireNonNull(record);
    }

    /** Returns the id of the job. */
    public String id() {
        return record.job();
    }

    /** Returns this row once the store holds the cancellation. */
    public CancellationRow asStored() {
        return new CancellationRow(record, cancelledMs, true);
    }

    /** Returns whether the cancellation need not be kept any longer. */
    public boolean isExpired(long nowMs) {
        return nowMs - cancelledMs > SchedulerTiming.JOB_RETENTION_MS;
    }
}
