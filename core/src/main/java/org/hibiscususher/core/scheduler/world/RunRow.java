package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.job.ReportedRun;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.TaskKey;

/**
 * A run that is under way, or may be.
 *
 * @param task task
 * @param run number
 * @param executor executor
 * @param team team that it counts for
 * @param demand what it takes of the team's limit
 * @param reserved what it takes of the executor's capacity
 * @param stage stage
 * @param reason why it is stopped
 * @param callId order that is awaited; 0 for none
 * @param sentMs when the last order was sent
 * @param orderAnsweredMs when the last order was answered; 0 if it was not
 * @param checkpoint last saved state that was listed
 * @param speedPercent last listed part of its full speed
 * @param load last listed load; -1 for none
 * @param speedLimitPercent part of its full speed that it was told
 * @param lastProgressMs when its listed state last changed
 */
public record RunRow(
        TaskKey task,
        int run,
        String executor,
        String team,
        Resources demand,
        Resources reserved,
        RunStage stage,
        StopReason reason,
        long callId,
        long sentMs,
        long orderAnsweredMs,
        String checkpoint,
        int speedPercent,
        long load,
        int speedLimitPercent,
        long lastProgressMs) {
    /** Checks the parts. */
    public RunRow {
        requireNonNull(task);
        requireNonNull(executor);
        requireNonNull(team);
        requireNonNull(demand);
        requireNonNull(reserved);
        requireNonNull(stage);
        requireNonNull(reason);
        requireNonNull(checkpoint);
    }

    /** Returns this run, known to be on its executor. */
    public RunRow asRunning(long nowMs) {
        return new RunRow(
                task,
                run,
                executor,
                team,
                demand,
                reserved,
                RunStage.RUNNING,
                reason,
                0,
                sentMs,
                nowMs,
                checkpoint,
                speedPercent,
                load,
                speedLimitPercent,
                nowMs);
    }

    /** Returns this run with an order to stop it sent. */
    public RunRow asStopping(StopReason newReason, long newCallId, long nowMs) {
        return new RunRow(
                task,
                run,
                executor,
                team,
                demand,
                reserved,
                RunStage.STOPPING,
                newReason,
                newCallId,
                nowMs,
                0,
                checkpoint,
                speedPercent,
                load,
                speedLimitPercent,
                lastProgressMs);
    }

    /** Returns this run with its order answered. */
    public RunRow withOrderAnswered(long nowMs) {
        return new RunRow(
                task,
                run,
                executor,
                team,
                demand,
                reserved,
                stage,
                reason,
                0,
                sentMs,
                nowMs,
                checkpoint,
                speedPercent,
                load,
                speedLimitPercent,
                lastProgressMs);
    }

    /** Returns this run with what its executor lists. */
    public RunRow withReport(ReportedRun told, long nowMs) {
        return new RunRow(
                task,
                run,
                executor,
                team,
                demand,
                reserved,
                stage,
                reason,
                callId,
                sentMs,
                orderAnsweredMs,
                told.checkpoint().isEmpty() ? checkpoint : told.checkpoint(),
                told.speedPercent(),
                told.load(),
                speedLimitPercent,
                told.speedPercent() != speedPercent || !told.checkpoint().equals(checkpoint)
                        ? nowMs
                        : lastProgressMs);
    }

    /** Returns this run with another pace. */
    public RunRow withSpeedLimit(int newSpeedLimitPercent) {
        return new RunRow(
                task,
                run,
                executor,
                team,
                demand,
                reserved,
                stage,
                reason,
                callId,
                sentMs,
                orderAnsweredMs,
                checkpoint,
                speedPercent,
                load,
                newSpeedLimitPercent,
                lastProgressMs);
    }
}
