package org.hibiscususher.standin.scheduler;

import static java.util.Objects.requireNonNull;

/**
 * A promise that was broken.
 *
 * @param invariant the invariant
 * @param atMs when, in virtual milliseconds
 * @param detail what happened
 */
public record InvariantViolation(SchedulerInvariant invariant, long atMs, String detail) {
    /** Checks the parts. */
    public InvariantViolation {
        requireNonNull(invariant);
        requireNonNull(detail);
    }
}
