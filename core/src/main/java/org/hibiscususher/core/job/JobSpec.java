package org.hibiscususher.core.job;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * What a caller hands in as one job.
 *
 * @param payload what executors are told to run, as the caller wrote it
 * @param steps the steps
 * @param repeats how many times the steps run; 0 if once and at once
 * @param startMs when the first occurrence is due, in milliseconds since the epoch
 * @param intervalMs milliseconds between two occurrences
 */
public record JobSpec(
        String payload, List<StepSpec> steps, int repeats, long startMs, long intervalMs) {
    /** Copies the steps. */
    public JobSpec {
        requireNonNull(payload);
        steps = List.copyOf(steps);
    }

    /** Returns a job that runs once and at once. */
    public static JobSpec once(String payload, List<StepSpec> steps) {
        return new JobSpec(payload, steps, 0, 0, 0);
    }

    /** Returns how many times the steps run. */
    public int occurrences() {
        return Math.max(1, repeats);
    }

    /** Returns whether the steps run at set times. */
    public boolean isScheduled() {
        return repeats > 0;
    }

    /** Returns when an occurrence is due, in milliseconds since the epoch; 0 if at once. */
    public long scheduledMs(int occurrence) {
        return isScheduled() ? startMs + occurrence * intervalMs : 0;
    }

    /** Returns whether a step runs until the job is cancelled. */
    public boolean isService() {
        return steps.stream().anyMatch(StepSpec::service);
    }

    /** Returns the work of one occurrence in core-milliseconds, by the estimates. */
    public long workCoreMs() {
        return steps.stream().mapToLong(StepSpec::workCoreMs).sum();
    }

    /** Returns the length of the longest chain of steps in milliseconds, by the estimates. */
    public long criticalPathMs() {
        long[] ends = new long[steps.size()];
        long longest = 0;
        for (int i = 0; i < ends.length; i++) {
            StepSpec step = steps.get(i);
            long start = 0;
            for (int before : step.dependsOn()) {
                start = Math.max(start, ends[before]);
            }
            ends[i] = start + step.estimateMs();
            longest = Math.max(longest, ends[i]);
        }
        return longest;
    }

    /**
     * Returns what is wrong with the job, or an empty string.
     *
     * <p>A step may only wait for steps before it.
     */
    public String validationError() {
        if (steps.isEmpty()) {
            return "a job needs a step";
        }
        for (int i = 0; i < steps.size(); i++) {
            StepSpec step = steps.get(i);
            if (step.count() < 1) {
                return "step " + i + " has no tasks";
            }
            for (int before : step.dependsOn()) {
                if (before < 0 || before >= i) {
                    return "step " + i + " waits for step " + before;
                }
            }
        }
        return "";
    }
}
