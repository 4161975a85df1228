package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.scheduler.message.ExecutorReport;

/**
 * An executor that reports itself in the store, or that an earlier owner used.
 *
 * @param report its last report; without an address if only the record of executors in use names it
 * @param firstSeenMs when this owner first saw it, in milliseconds of the steady clock
 * @param missingSinceMs since when the store has held no report of it, in milliseconds of the
 *     steady clock; 0 if it holds one
 * @param inherited whether an earlier owner may have started runs there and it has not answered
 *     this owner yet; tasks that may run there can't be started elsewhere until it answers or its
 *     lease expires
 * @param recorded whether the store names it among the executors in use, which must hold before a
 *     run is started there, so that a later owner knows of it
 * @param cordoned whether its host is about to be maintained or moved, so that it gets no new runs
 * @param drainingSinceMs since when it has been draining, in milliseconds of the steady clock; 0 if
 *     it is not
 */
public record ExecutorRow(
        ExecutorReport report,
        long firstSeenMs,
        long missingSinceMs,
        boolean inherited,
        boolean recorded,
        boolean cordoned,
        long drainingSinceMs) {
    /** Rejects null components. */
    public ExecutorRow {
        requireNonNull(report);
    }

    /** Returns this executor with a newer report, present in the store. */
    public ExecutorRow withReport(ExecutorReport newReport, long nowMs) {
        return new ExecutorRow(
                newReport,
                firstSeenMs,
                0,
                inherited,
                recorded,
                cordoned,
                newReport.draining() ? (drainingSinceMs == 0 ? nowMs : drainingSinceMs) : 0);
    }

    /**
     * Returns this executor with its report missing from the store, since now if it was present
     * before.
     */
    public ExecutorRow withoutReport(long nowMs) {
        return new ExecutorRow(
                report,
                firstSeenMs,
                missingSinceMs == 0 ? nowMs : missingSinceMs,
                inherited,
                recorded,
                cordoned,
                drainingSinceMs);
    }

    /** Returns this executor once this owner knows all its runs. */
    public ExecutorRow asConfirmed() {
        return new ExecutorRow(
                report, firstSeenMs, missingSinceMs, false, recorded, cordoned, drainingSinceMs);
    }

    /** Returns this executor with the given presence in the stored list of executors in use. */
    public ExecutorRow withRecorded(boolean newRecorded) {
        return new ExecutorRow(
                report,
                firstSeenMs,
                missingSinceMs,
                inherited,
                newRecorded,
                cordoned,
                drainingSinceMs);
    }

    /** Returns this executor cordoned or not. */
    public ExecutorRow withCordoned(boolean newCordoned) {
        return new ExecutorRow(
                report,
                firstSeenMs,
                missingSinceMs,
                inherited,
                recorded,
                newCordoned,
                drainingSinceMs);
    }

    /** Returns the executor's id. */
    public String id() {
        return report.id();
    }

    /** Returns the name of the executor's pool. */
    public String pool() {
        return report.pool();
    }
}
