package org.hibiscususher.standin.scheduler;

import static java.util.Objects.requireNonNull;

/**
 * A promise that was broken.
 *
 * @param promise the promise
 * @param atMs when, in virtual milliseconds
 * @param text what happened
 */
public record Breach(SchedulerPromise promise, long atMs, String text) {
    /** Checks the parts. */
    public Breach {
        requireNonNull(promise);
        requireNonNull(text);
    }
}
