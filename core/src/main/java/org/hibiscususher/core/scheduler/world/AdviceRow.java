package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.Set;
import org.hibiscususher.core.job.StepKey;

/**
 * Which executors may run a step of a queue whose policy is asked elsewhere.
 *
 * @param step the step
 * @param tokens permissions by executor
 * @param requested executors that were asked for
 * @param validUntilMs until when the permissions hold
 */
public record AdviceRow(
        StepKey step, Map<String, String> tokens, Set<String> requested, long validUntilMs) {
    /** Copies the parts. */
    public AdviceRow {
        requireNonNull(step);
        tokens = Map.copyOf(tokens);
        requested = Set.copyOf(requested);
    }
}
