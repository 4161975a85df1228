package org.hibiscususher.cli;

import java.util.Locale;
import org.hibiscususher.core.message.StatusReport;

/** Writes an entry's status for a terminal. */
final class StatusText {
    private StatusText() {}

    static String of(StatusReport report) {
        StringBuilder text = new StringBuilder();
        text.append(
                String.format(
                        Locale.ROOT,
                        "%s: %s, revision %d, epoch %d, store %s, %d waiting, %d running%n",
                        report.member(),
                        report.stage(),
                        report.revision(),
                        report.epoch(),
                        age(report.storeAgeMs()),
                        report.waiting(),
                        report.running()));
        for (StatusReport.Peer peer : report.peers()) {
            boolean lags = peer.revision() < report.revision();
            text.append(
                    String.format(
                            Locale.ROOT,
                            "  %-16s %-8s zone %-10s revision %d%s, heard %s%n",
                            peer.member(),
                            peer.state().name().toLowerCase(Locale.ROOT),
                            peer.zone(),
                            peer.revision(),
                            lags ? " (lags)" : "",
                            age(peer.silentMs())));
        }
        return text.toString();
    }

    private static String age(long ms) {
        return ms < 0 ? "never" : String.format(Locale.ROOT, "%.1f s ago", ms / 1000.0);
    }
}
