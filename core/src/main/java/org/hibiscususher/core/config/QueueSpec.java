package org.hibiscususher.core.config;

import static java.util.Objects.requireNonNull;

import java.util.Optional;

/**
 * Declares a queue: a class of work that runs on one pool.
 *
 * @param id unique name; callers use it as the first segment of the path
 * @param pool where the work runs
 * @param kind how long the work runs
 * @param openTeam the team under whose share work without a key runs; empty if a key is needed
 * @param maxWaiting most requests waiting in one entry, 1 or more
 * @param waitLimitMs longest wait for a start, in milliseconds, 1 or more
 * @param runLimitMs longest run, in milliseconds, 1 or more
 */
public record QueueSpec(
        String id,
        String pool,
        QueueKind kind,
        Optional<String> openTeam,
        int maxWaiting,
        int waitLimitMs,
        int runLimitMs) {
    /** Checks the fields. */
    public QueueSpec {
        requireNonNull(id);
        requireNonNull(pool);
        requireNonNull(kind);
        requireNonNull(openTeam);
        if (maxWaiting < 1 || waitLimitMs < 1 || runLimitMs < 1) {
            throw new IllegalArgumentException("limits of a queue are 1 or more");
        }
    }
}
