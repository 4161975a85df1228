package org.hibiscususher.core.scheduler.estimate;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.scheduler.world.JobRow;

/**
 * Names steps whose runs are expected to take equally long: those of the same image or, without an
 * image, those of the same position and shape in jobs of the same queue.
 *
 * @param image software that the tasks run; empty if not known, and then the other parts count
 * @param queue name of the queue
 * @param step number of the step in its job
 * @param count number of tasks, rounded up to a power of two
 * @param demand resources of a task, each rounded up to a power of two
 */
public record RunTimeKey(String image, String queue, int step, long count, Resources demand) {
    private static final int MAX_TEXT = 100;

    /** Rejects null components. */
    public RunTimeKey {
        requireNonNull(image);
        requireNonNull(queue);
        requireNonNull(demand);
    }

    /** Returns the key of a step of a job. */
    public static RunTimeKey of(JobRow job, int stepNumber) {
        StepSpec spec = job.spec().steps().get(stepNumber);
        if (!spec.image().isEmpty()) {
            return new RunTimeKey(spec.image(), "", 0, 0, Resources.NONE);
        }
        Resources demand =
                Resources.of(
                        roundUp(spec.demand().cpuMillis()),
                        roundUp(spec.demand().memoryMb()),
                        roundUp(spec.demand().gpus()));
        return new RunTimeKey("", job.policy().queue(), stepNumber, roundUp(spec.count()), demand);
    }

    /** Returns the least power of two that is not below a number; 0 for numbers below 1. */
    private static long roundUp(long n) {
        long floor = Long.highestOneBit(Math.max(0, n));
        return floor == n || n <= 0 ? floor : floor << 1;
    }

    /** Returns the key as text for log lines; callers choose images, so unusual characters go. */
    public String text() {
        String text =
                image.isEmpty()
                        ? queue
                                + '/'
                                + step
                                + '/'
                                + count
                                + 'x'
                                + demand.cpuMillis()
                                + ','
                                + demand.memoryMb()
                                + ','
                                + demand.gpus()
                        : image;
        String safe = text.replaceAll("[^\\w.:/@,-]", "_");
        return safe.substring(0, Math.min(MAX_TEXT, safe.length()));
    }
}
