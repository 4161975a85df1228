package org.hibiscususher.cli;

import java.io.IOException;
import java.util.Locale;
import org.hibiscususher.core.message.WaveReport;
import org.hibiscususher.wire.json.OperatorJson;

/** Sends commands about the maintenance wave to the daemon and prints its reports. */
final class WaveCalls {
    private static final int MS_PER_SECOND = 1_000;

    private WaveCalls() {}

    /**
     * Sends a command and prints the report that the daemon returns.
     *
     * @param invocation invocation, whose operands are names of pools or empty
     * @param command name of the command, in lower case
     */
    static ExitCode run(Invocation invocation, String command) throws IOException {
        String body = (command + " " + invocation.operands()).trim();
        WaveReport report = OperatorJson.decodeWave(invocation.post("/wave", body));
        invocation.out().print(format(report));
        return report.ok() ? ExitCode.OK : ExitCode.FAILED;
    }

    /** Formats the state of the wave, and a line for each host out of service. */
    static String format(WaveReport report) {
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
