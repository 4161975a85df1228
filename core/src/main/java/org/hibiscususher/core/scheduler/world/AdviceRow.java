package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.Set;
import org.hibiscususher.core.job.StepKey;

/**
 * The executors on which an external service allows a step to run.
 *
 * <p>Only steps of queues whose policy requires placement tokens have such a row.
 *
 * @param step step that the executors may run
 * @param tokens placement tokens by executor id, for the executors that the service allows
 * @param requested ids of all executors that the service was asked about; those without a token are
 *     not allowed
 * @param validUntilMs until when the tokens may be used, in milliseconds of the steady clock
 */
public record AdviceRow(
        StepKey step, Map<String, String> tokens, Set<String> requested, long validUntilMs) {
    /** Rejects null components and copies the collections. */
    public AdviceRow {
        requireNonNull(step);
        tokens = Map.copyOf(tokens);
        requested = Set.copyOf(requested);
    }
}
