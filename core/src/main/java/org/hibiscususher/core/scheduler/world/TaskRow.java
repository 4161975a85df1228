package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.hibiscususher.core.job.TaskKey;

/**
 * A task of an activated step, until it is done. Times are milliseconds of the steady clock.
 *
 * @param key task key
 * @param pool pool whose executors run it
 * @param state whether a run of it is in progress
 * @param lastRun highest number of a run of it; 0 for none
 * @param failedRuns numbers of the runs that count as failed attempts
 * @param checkpoint last saved state, from which the next run continues; empty for none
 * @param readySinceMs since when it has waited for a run
 * @param notBeforeMs earliest time of the next run
 * @param lastFailedExecutor id of the executor on which it last failed; empty for none
 * @param uncertain whether a run that an earlier owner started may be in progress on an executor
 *     that has not answered; starting the task now could run it twice
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
    /** Rejects null components and copies the set. */
    public TaskRow {
        requireNonNull(key);
        requireNonNull(pool);
        requireNonNull(state);
        failedRuns = Set.copyOf(failedRuns);
        requireNonNull(checkpoint);
        requireNonNull(lastFailedExecutor);
    }

    /** Returns this task with the given run in progress. */
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

    /**
     * Returns this task with a run in progress that an earlier owner started. Whether an executor
     * that has not answered knows of other runs is as uncertain as before.
     */
    public TaskRow asAdopted(int adoptedRun) {
        return new TaskRow(
                key,
                pool,
                TaskState.ACTIVE,
                adoptedRun,
                failedRuns,
                checkpoint,
                readySinceMs,
                notBeforeMs,
                lastFailedExecutor,
                uncertain);
    }

    /**
     * Returns this task waiting for another run.
     *
     * @param nowMs the current time
     * @param delayMs how long the next run is delayed, in milliseconds
     * @param newCheckpoint state that the last run saved; empty to keep the one before
     */
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

    /** Returns this task with another failed attempt, on the given executor. */
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

    /** Returns this task with its highest run number not below the given one. */
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

    /** Returns this task once no run of an earlier owner can be in progress unnoticed. */
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

    /** Returns the group that the task belongs to. */
    public TaskGroup group() {
        return new TaskGroup(pool, state, uncertain, key.stepKey());
    }
}
