package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.scheduler.message.ExecutorReport;

/**
 * An executor.
 *
 * @param report what it says of itself
 * @param firstSeenMs when it was first seen
 * @param missingSinceMs since when its report is gone; 0 if it is there
 * @param inherited whether an earlier owner may have used it and it has not answered this one yet
 * @param recorded whether the store names it among the executors in use
 * @param cordoned whether its host is to be maintained or moved
 * @param drainingSinceMs since when it drains; 0 if it does not
 */
public record ExecutorRow(
        ExecutorReport report,
        long firstSeenMs,
        long missingSinceMs,
        boolean inherited,
        boolean recorded,
        boolean cordoned,
        long drainingSinceMs) {
    /** Checks the parts. */
    public ExecutorRow {
        requireNonNull(report);
    }

    /** Returns this executor with a newer report. */
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

    /** Returns this executor without its report. */
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

    /** Returns this executor, known to this owner. */
    public ExecutorRow asConfirmed() {
        return new ExecutorRow(
                report, firstSeenMs, missingSinceMs, false, recorded, cordoned, drainingSinceMs);
    }

    /** Returns this executor with the store naming it or not. */
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

    /** Returns this executor with its host to be maintained or moved, or not. */
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

    /** Returns the id. */
    public String id() {
        return report.id();
    }

    /** Returns the pool. */
    public String pool() {
        return report.pool();
    }
}
