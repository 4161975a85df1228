package org.hibiscususher.cli;

import java.util.Locale;
import org.hibiscususher.core.message.StatusReport;

/** Writes an entry's status for a terminal. */
final class StatusFormatter {
    private static final double MS_PER_SECOND = 1_000;
    private static final String ROW = "  %-16s  %-8s  %-12s  %8s  %-11s  %-11s  %s";

    private StatusFormatter() {}

    static String of(StatusReport report) {
        StringBuilder text = new StringBuilder();
        line(
                text,
                "%s: %s, %s, revision %d, epoch %d, %d waiting, %d running",
                report.member(),
                report.stage(),
                report.takesWork() ? "takes work" : "takes no work",
                report.revision(),
                report.epoch(),
                report.waiting(),
                report.running());
        line(
                text,
                "  configuration known to be current as of %s, store answered %s",
                age(report.freshAgeMs()),
                age(report.storeAgeMs()));
        long newest = newest(report);
        if (report.revision() < newest) {
            line(text, "  LAGS: revision %d is written, but not in force here", newest);
        }
        if (!report.peers().isEmpty()) {
            line(text, ROW, "ENTRY", "STATE", "ZONE", "REVISION", "HEARD", "STORE", "");
        }
        for (StatusReport.Peer peer : report.peers()) {
            line(
                    text,
                    ROW,
                    peer.member(),
                    peer.state().name().toLowerCase(Locale.ROOT),
                    peer.zone(),
                    Long.toString(peer.revision()),
                    age(peer.silentMs()),
                    age(peer.storeAgeMs()),
                    lag(peer, newest));
        }
        return text.toString();
    }

    private static long newest(StatusReport report) {
        long newest = Math.max(report.newestRevision(), report.revision());
        for (StatusReport.Peer peer : report.peers()) {
            newest = Math.max(newest, peer.revision());
        }
        return newest;
    }

    private static String lag(StatusReport.Peer peer, long newest) {
        if (peer.revision() >= newest) {
            return "";
        }
        String behind = "LAGS by " + (newest - peer.revision());
        return peer.silentMs() < 0 ? behind + ", never heard" : behind;
    }

    private static void line(StringBuilder text, String format, Object... values) {
        String line = String.format(Locale.ROOT, format, values);
        text.append(line.stripTrailing()).append(System.lineSeparator());
    }

    private static String age(long ms) {
        return ms < 0 ? "never" : String.format(Locale.ROOT, "%.1f s ago", ms / MS_PER_SECOND);
    }
}
