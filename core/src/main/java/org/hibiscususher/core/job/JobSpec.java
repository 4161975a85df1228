package org.hibiscususher.core.job;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * A job as submitted by a caller.
 *
 * @param payload what executors are to run, as the caller wrote it
 * @param steps steps of each occurrence, which refer to each other by their position, from 0
 * @param repeats number of occurrences of a scheduled job; 0 if the steps run once, at once
 * @param startMs time of the first occurrence, in milliseconds since the epoch
 * @param intervalMs time between two occurrences, in milliseconds
 */
public record JobSpec(
        String payload, List<StepSpec> steps, int repeats, long startMs, long intervalMs) {
    /** Rejects null components and copies the list. */
    public JobSpec {
        requireNonNull(payload);
        steps = List.copyOf(steps);
    }

    /** Returns a job whose steps run once, at once. */
    public static JobSpec once(String payload, List<StepSpec> steps) {
        return new JobSpec(payload, steps, 0, 0, 0);
    }

    /** Returns the number of occurrences of the steps. */
    public int occurrences() {
        return Math.max(1, repeats);
    }

    /** Returns whether the occurrences start at set times. */
    public boolean isScheduled() {
        return repeats > 0;
    }

    /** Returns when an occurrence starts, in milliseconds since the epoch; 0 if at once. */
    public long scheduledMs(int occurrence) {
        return isScheduled() ? startMs + occurrence * intervalMs : 0;
    }

    /** Returns whether a step runs until the job is cancelled. */
    public boolean isService() {
        return steps.stream().anyMatch(StepSpec::service);
    }

    /**
     * Returns whether the backlog decides on the acceptance. Services, which have no end, and
     * scheduled jobs, whose backlog isn't known yet, are always accepted.
     */
    public boolean isLimitedByBacklog() {
        return !isService() && !isScheduled();
    }

    /** Returns the estimated work of one occurrence, in core-milliseconds. */
    public long workCoreMs() {
        return steps.stream().mapToLong(StepSpec::workCoreMs).sum();
    }

    /** Returns the estimated duration of the longest chain of dependent steps, in milliseconds. */
    public long criticalPathMs() {
        long[] finishMs = new long[steps.size()];
        long longestMs = 0;
        for (int i = 0; i < finishMs.length; i++) {
            StepSpec step = steps.get(i);
            long startMs = 0;
            for (int dependency : step.dependsOn()) {
                startMs = Math.max(startMs, finishMs[dependency]);
            }
            finishMs[i] = startMs + step.estimateMs();
            longestMs = Math.max(longestMs, finishMs[i]);
        }
        return longestMs;
    }

    /**
     * Returns what is wrong with the job, or an empty string if it is valid.
     *
     * <p>A step may depend on earlier steps only, which rules out cycles.
     */
    public String validationError() {
        if (steps.isEmpty()) {
            return "a job must have a step";
        }
        for (int i = 0; i < steps.size(); i++) {
            StepSpec step = steps.get(i);
            if (step.count() < 1) {
                return "step " + i + " has no tasks";
            }
            for (int dependency : step.dependsOn()) {
                if (dependency < 0 || dependency >= i) {
                    return "step "
                            + i
                            + " depends on step "
                            + dependency
                            + ", which does not precede it";
                }
            }
        }
        return "";
    }
}
