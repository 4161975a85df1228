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
 * @param run number of its last run; 0 for none
 * @param failedRuns numbers of the runs that failed
 * @param checkpoint last saved state; empty for none
 * @param readyMs since when it waits
 * @param notBeforeMs when it may run next
 * @param failedOn executor on which it failed last; empty for none
 * @param doubtful whether a run of an earlier owner may be under way
 */
public record TaskRow(
        TaskKey key,
        String pool,
        TaskState state,
        int run,
        Set<Integer> failedRuns,
        String checkpoint,
        long readyMs,
        long notBeforeMs,
        String failedOn,
        boolean doubtful) {
    /** Checks the parts. */
    public TaskRow {
        requireNonNull(key);
        requireNonNull(pool);
        requireNonNull(state);
        failedRuns = Set.copyOf(failedRuns);
        requireNonNull(checkpoint);
        requireNonNull(failedOn);
    }

    /** Returns this task with a run under way. */
    public TaskRow active(int newRun) {
        return new TaskRow(
                key,
                pool,
                TaskState.ACTIVE,
                newRun,
                failedRuns,
                checkpoint,
                readyMs,
                notBeforeMs,
                failedOn,
                false);
    }

    /** Returns this task waiting for another run. */
    public TaskRow waiting(long nowMs, long delayMs, String newCheckpoint) {
        return new TaskRow(
                key,
                pool,
                TaskState.WAITING,
                run,
                failedRuns,
                newCheckpoint.isEmpty() ? checkpoint : newCheckpoint,
                nowMs,
                nowMs + delayMs,
                failedOn,
                doubtful);
    }

    /** Returns this task with one more failed run. */
    public TaskRow withFailure(int newFailedRun, String executor) {
        return new TaskRow(
                key,
                pool,
                state,
                run,
                Stream.concat(failedRuns.stream(), Stream.of(newFailedRun))
                        .collect(Collectors.toUnmodifiableSet()),
                checkpoint,
                readyMs,
                notBeforeMs,
                executor,
                doubtful);
    }

    /** Returns this task with a higher number of its last run. */
    public TaskRow withRun(int newRun) {
        return new TaskRow(
                key,
                pool,
                state,
                Math.max(run, newRun),
                failedRuns,
                checkpoint,
                readyMs,
                notBeforeMs,
                failedOn,
                doubtful);
    }

    /** Returns this task without doubt on a run of an earlier owner. */
    public TaskRow certain() {
        return new TaskRow(
                key,
                pool,
                state,
                run,
                failedRuns,
                checkpoint,
                readyMs,
                notBeforeMs,
                failedOn,
                false);
    }

    /** Returns the tasks that this one is found with. */
    public TaskGroup group() {
        return new TaskGroup(pool, state);
    }
}
