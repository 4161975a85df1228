package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.hibiscususher.core.job.TaskKey;

/**
 * A task of a step whose turn has come, until it is done.
 *
 * @param key key
 * @param pool pool whose executors run it
 * @param state state
 * @param lastRun number of its last run; 0 for none
 * @param failedRuns numbers of the runs that failed
 * @param checkpoint last saved state; empty for none
 * @param readySinceMs since when it waits
 * @param notBeforeMs when it may run next
 * @param lastFailedExecutor executor on which it failed last; empty for none
 * @param uncertain whether a run of an earlier owner may be under way
 */
public record TaskRow(
        TaskKey key,
        String pool,
        TaskState state,
        int lastRun,
        Set<Integer> failedRuns,
        String checkpoint,
        long readySinceMs,
        long notBeforeMs,
        String lastFailedExecutor,
        boolean uncertain) {
    /** Checks the parts. */
    public TaskRow {
        requireNonNull(key);
        requireNonNull(pool);
        requireNonNull(state);
        failedRuns = Set.copyOf(failedRuns);
        requireNonNull(checkpoint);
        requireNonNull(lastFailedExecutor);
    }

    /** Returns this task with a run under way. */
    public TaskRow asActive(int newLastRun) {
        return new TaskRow(
                key,
                pool,
                TaskState.ACTIVE,
                newLastRun,
                failedRuns,
                checkpoint,
                readySinceMs,
                notBeforeMs,
                lastFailedExecutor,
                false);
    }

    /** Returns this task waiting for another run. */
    public TaskRow asWaiting(long nowMs, long delayMs, String newCheckpoint) {
        return new TaskRow(
                key,
                pool,
                TaskState.WAITING,
                lastRun,
                failedRuns,
                newCheckpoint.isEmpty() ? checkpoint : newCheckpoint,
                nowMs,
                nowMs + delayMs,
                lastFailedExecutor,
                uncertain);
    }

    /** Returns this task with one more failed run. */
    public TaskRow withFailure(int newFailedRun, String executor) {
        return new TaskRow(
                key,
                pool,
                state,
                lastRun,
                Stream.concat(failedRuns.stream(), Stream.of(newFailedRun))
                        .collect(Collectors.toUnmodifiableSet()),
                checkpoint,
                readySinceMs,
                notBeforeMs,
                executor,
                uncertain);
    }

    /** Returns this task with a higher number of its last run. */
    public TaskRow withRunAtLeast(int newLastRun) {
        return new TaskRow(
                key,
                pool,
                state,
                Math.max(lastRun, newLastRun),
                failedRuns,
                checkpoint,
                readySinceMs,
                notBeforeMs,
                lastFailedExecutor,
                uncertain);
    }

    /** Returns this task without doubt on a run of an earlier owner. */
    public TaskRow asCertain() {
        return new TaskRow(
                key,
                pool,
                state,
                lastRun,
                failedRuns,
                checkpoint,
                readySinceMs,
                notBeforeMs,
                lastFailedExecutor,
                false);
    }

    /** Returns the tasks that this one is found with. */
    public TaskGroup group() {
        return new TaskGroup(pool, state);
    }
}
