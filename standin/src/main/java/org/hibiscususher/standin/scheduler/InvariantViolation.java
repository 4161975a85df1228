package org.hibiscususher.standin.scheduler;

import static java.util.Objects.requireNonNull;

/**
 * A violation of an invariant, found during a simulation.
 *
 * @param invariant the invariant that does not hold
 * @param atMs virtual time of the violation, in milliseconds
 * @param detail the job, task, team, host or executor concerned, and what it did
 */
public record InvariantViolation(SchedulerInvariant invariant, long atMs, String detail) {
    /** Checks that no component is null. */
    public InvariantViolation {
        requireNonNull(invariant);
        requireNonNull(detail);
    }
}
