package org.hibiscususher.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One job's life, from the log lines of several processes.
 *
 * <p>Lines that name the job come with those that changed what the processes believed meanwhile:
 * who owns the scheduling, whether the store was reached, and how the job's executors were.
 */
final class JobTrace {
    /** Time around the job's own lines from which other lines are taken, in milliseconds. */
    private static final long AROUND_MS = 3_000;

    private static final Pattern LINE = Pattern.compile("ms=(\\d+) node=(\\S+) event=(\\S+)(.*)");
    private static final Pattern EXECUTOR = Pattern.compile("executor=(\\S+)");
    private static final Set<String> OWNERSHIP =
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

    private record Line(long atMs, String node, String event, String rest) {
        boolean names(String id) {
            return rest.contains(id);
        }
    }

    /** Returns the trace; empty if no line names the job. */
    static List<String> of(String id, List<String> lines) {
        List<Line> parsed = parse(lines);
        List<Line> own = parsed.stream().filter(line -> line.names(id)).toList();
        if (own.isEmpty()) {
            return List.of();
        }
        Set<String> executors = new HashSet<>();
        for (Line line : own) {
            Matcher matcher = EXECUTOR.matcher(line.rest());
            if (matcher.find()) {
                executors.add(matcher.group(1));
            }
        }
        long firstMs = own.get(0).atMs();
        long lastMs = own.get(own.size() - 1).atMs();
        List<String> trace = new ArrayList<>();
        for (Line line : parsed) {
            boolean near = line.atMs() >= firstMs - AROUND_MS && line.atMs() <= lastMs + AROUND_MS;
            if (line.names(id) || near && isContext(line, executors)) {
                trace.add(
                        String.format(
                                "%+8d ms %-14s %-20s%s",
                                line.atMs() - firstMs, line.node(), line.event(), line.rest()));
            }
        }
        return trace;
    }

    private static boolean isContext(Line line, Set<String> executors) {
        if (OWNERSHIP.contains(line.event())) {
            return true;
        }
        Matcher matcher = EXECUTOR.matcher(line.rest());
        return line.event().startsWith("executor-")
                && matcher.find()
                && executors.contains(matcher.group(1));
    }

    private static List<Line> parse(List<String> lines) {
        List<Line> parsed = new ArrayList<>();
        for (String line : lines) {
            Matcher matcher = LINE.matcher(line);
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
