package org.hibiscususher.cli;

import java.util.Locale;
import org.hibiscususher.core.message.StatusReport;

/** Formats the status of an entry and its peers for a terminal. */
final class StatusFormatter {
    private static final double MS_PER_SECOND = 1_000;
    private static final String ROW = "  %-16s  %-8s  %-12s  %8s  %-11s  %-11s  %s";

    private StatusFormatter() {}

    /** Returns a line about the entry, one about its configuration, and a row for each peer. */
    static String format(StatusReport report) {
        StringBuilder text = new StringBuilder();
        appendLine(
                text,
                "%s: %s, %s, revision %d, epoch %d, %d waiting, %d running",
                report.member(),
                report.stage(),
                report.takesWork() ? "takes work" : "takes no work",
                report.revision(),
                report.epoch(),
                report.waiting(),
                report.running());
        appendLine(
                text,
                "  configuration known to be current as of %s, store answered %s",
                formatAge(report.freshAgeMs()),
                formatAge(report.storeAgeMs()));
        long newestRevision = newestRevision(report);
        if (report.revision() < newestRevision) {
            appendLine(
                    text, "  LAGS: revision %d is written, but not in force here", newestRevision);
        }
        if (!report.peers().isEmpty()) {
            appendLine(text, ROW, "ENTRY", "STATE", "ZONE", "REVISION", "HEARD", "STORE", "");
        }
        for (StatusReport.Peer peer : report.peers()) {
            appendLine(
                    text,
                    ROW,
                    peer.member(),
                    peer.state().name().toLowerCase(Locale.ROOT),
                    peer.zone(),
                    Long.toString(peer.revision()),
                    formatAge(peer.silentMs()),
                    formatAge(peer.storeAgeMs()),
                    lag(peer, newestRevision));
        }
        return text.toString();
    }

    /** Returns the newest revision that the entry or one of its peers is known to have. */
    private static long newestRevision(StatusReport report) {
        long newestRevision = Math.max(report.newestRevision(), report.revision());
        for (StatusReport.Peer peer : report.peers()) {
            newestRevision = Math.max(newestRevision, peer.revision());
        }
        return newestRevision;
    }

    private static String lag(StatusReport.Peer peer, long newestRevision) {
        if (peer.revision() >= newestRevision) {
            return "";
        }
        String lag = "LAGS by " + (newestRevision - peer.revision());
        return peer.silentMs() < 0 ? lag + ", never heard" : lag;
    }

    private static void appendLine(StringBuilder text, String format, Object... values) {
        String line = String.format(Locale.ROOT, format, values);
        text.append(line.stripTrailing()).append(System.lineSeparator());
    }

    /** Formats a number of milliseconds; negative values stand for an event that never occurred. */
    private static String formatAge(long ms) {
        return ms < 0 ? "never" : String.format(Locale.ROOT, "%.1f s ago", ms / MS_PER_SECOND);
    }
}
