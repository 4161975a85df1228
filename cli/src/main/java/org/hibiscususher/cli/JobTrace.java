package org.hibiscususher.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Extracts the history of one job from the log lines of several processes.
 *
 * <p>Besides the lines that mention the job, it contains the events that can explain them: changes
 * of the scheduling owner, losses of the store, and events of the executors that ran the job.
 */
final class JobTrace {
    /**
     * Time before the first and after the last line about the job from which related events are
     * included, in milliseconds.
     */
    private static final long CONTEXT_MARGIN_MS = 3_000;

    private static final Pattern LINE_PATTERN =
            Pattern.compile("ms=(\\d+) node=(\\S+) event=(\\S+)(.*)");
    private static final Pattern EXECUTOR_PATTERN = Pattern.compile("executor=(\\S+)");
    private static final Set<String> CONTEXT_EVENTS =
            Set.of(
                    "owner-taken",
                    "owner-lost",
                    "takeover",
                    "predecessor-yielded",
                    "store-lost",
                    "store-reached",
                    "commit-failed",
                    "suspended");

    private JobTrace() {}

    /**
     * A parsed log line.
     *
     * @param atMs time of the event, in milliseconds since 1970 by the clock of its process
     * @param node name of the process
     * @param event name of the event
     * @param fields rest of the line: {@code key=value} pairs
     */
    private record Line(long atMs, String node, String event, String fields) {
        boolean mentions(String jobId) {
            return fields.contains(jobId);
        }
    }

    /**
     * Returns the trace of a job, one line for each event.
     *
     * @param jobId id of the job, as written in the logs
     * @param lines lines of all log files in any order; others than log lines are ignored
     * @return lines in order of time, with times relative to the first line about the job; empty if
     *     no line mentions the job
     */
    static List<String> of(String jobId, List<String> lines) {
        List<Line> parsed = parse(lines);
        List<Line> jobLines = parsed.stream().filter(line -> line.mentions(jobId)).toList();
        if (jobLines.isEmpty()) {
            return List.of();
        }
        Set<String> executors = new HashSet<>();
        for (Line line : jobLines) {
            Matcher matcher = EXECUTOR_PATTERN.matcher(line.fields());
            if (matcher.find()) {
                executors.add(matcher.group(1));
            }
        }
        long firstMs = jobLines.get(0).atMs();
        long lastMs = jobLines.get(jobLines.size() - 1).atMs();
        List<String> trace = new ArrayList<>();
        for (Line line : parsed) {
            boolean isNear =
                    line.atMs() >= firstMs - CONTEXT_MARGIN_MS
                            && line.atMs() <= lastMs + CONTEXT_MARGIN_MS;
            if (line.mentions(jobId) || isNear && isContext(line, executors)) {
                trace.add(
                        String.format(
                                "%+8d ms %-14s %-20s%s",
                                line.atMs() - firstMs, line.node(), line.event(), line.fields()));
            }
        }
        return trace;
    }

    /** Returns whether a line concerns the scheduling owner, the store, or one of the executors. */
    private static boolean isContext(Line line, Set<String> executors) {
        if (CONTEXT_EVENTS.contains(line.event())) {
            return true;
        }
        Matcher matcher = EXECUTOR_PATTERN.matcher(line.fields());
        return line.event().startsWith("executor-")
                && matcher.find()
                && executors.contains(matcher.group(1));
    }

    private static List<Line> parse(List<String> lines) {
        List<Line> parsed = new ArrayList<>();
        for (String line : lines) {
            Matcher matcher = LINE_PATTERN.matcher(line);
            if (matcher.find()) {
                parsed.add(
                        new Line(
                                Long.parseLong(matcher.group(1)),
                                matcher.group(2),
                                matcher.group(3),
                                matcher.group(4)));
            }
        }
        parsed.sort(Comparator.comparingLong(Line::atMs));
        return parsed;
    }
}
