package org.hibiscususher.cli;

import java.io.IOException;
import java.util.Locale;
import org.hibiscususher.core.message.WaveReport;
import org.hibiscususher.wire.json.OperatorJson;

/** Sends commands about the maintenance wave and writes the answers for a terminal. */
final class WaveCalls {
    private static final int MS_PER_SECOND = 1_000;

    private WaveCalls() {}

    /** Sends a command and prints the answer. */
    static ExitCode call(Invocation call, String command) throws IOException {
        String body = (command + " " + call.operand()).trim();
        WaveReport report = OperatorJson.decodeWave(call.post("/wave", body));
        call.out().print(of(report));
        return report.ok() ? ExitCode.OK : ExitCode.FAILED;
    }

    static String of(WaveReport report) {
        StringBuilder text = new StringBuilder();
        if (!report.ok()) {
            return "not done: " + report.detail() + "\n";
        }
        if (report.id().isEmpty()) {
            text.append("no wave has been planned\n");
        } else {
            text.append(
                    String.format(
                            Locale.ROOT,
                            "%s: %s, %d of %d hosts rebooted%s%n",
                            report.id(),
                            report.state(),
                            report.done(),
                            report.total(),
                            report.detail().isEmpty() ? "" : " (" + report.detail() + ")"));
        }
        for (WaveReport.OutOfServiceHost host : report.out()) {
            text.append(
                    String.format(
                            Locale.ROOT,
                            "  %-16s pool %-12s %s, for %d s%n",
                            host.host(),
                            host.pool(),
                            host.activity(),
                            host.sinceMs() / MS_PER_SECOND));
        }
        return text.toString();
    }
}
