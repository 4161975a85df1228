package org.hibiscususher.core.scheduler.world;

/**
 * Whether the record of run times has to be written.
 *
 * @param changed whether a prediction has changed since it was last queued to be written
 * @param queuedMs when that was, in milliseconds of the steady clock; 0 for never
 */
public record RunTimeRecordRow(boolean changed, long queuedMs) {
    /** Nothing was learned and nothing written. */
    static final RunTimeRecordRow INITIAL = new RunTimeRecordRow(false, 0);

    /** Returns this row after a prediction has changed. */
    public RunTimeRecordRow asChanged() {
        return new RunTimeRecordRow(true, queuedMs);
    }
}
