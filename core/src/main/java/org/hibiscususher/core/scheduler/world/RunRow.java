package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import org.hibiscususher.core.job.ReportedRun;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.TaskKey;

/**
 * A run that is in progress, or may be. Times are milliseconds of the steady clock.
 *
 * @param task task that it runs
 * @param run number of the run, higher than that of the task's earlier runs
 * @param executor executor id
 * @param team name of the team whose limit it counts against
 * @param demand resources that count against the team's limit
 * @param reserved resources that it reserves on the executor
 * @param stage whether it is being started, running or being stopped
 * @param reason why it is being stopped; {@link StopReason#NONE} if it is not
 * @param callId id of the order in flight; 0 for none
 * @param sentMs when the last order was sent
 * @param orderAnsweredMs when the last order was answered; 0 if it was not
 * @param checkpoint last saved state that the executor reported; empty for none
 * @param progressPercent part of the work done, as last reported; below 100 for a service task that
 *     does not serve yet
 * @param load last reported load, see {@link ReportedRun#load()}; -1 for none
 * @param speedLimitPercent part of its full speed to which it has been throttled; 100 if it is not
 * @param lastProgressMs when its reported progress or saved state last changed
 * @param firstReport the first progress that was reported to this owner
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
        int progressPercent,
        long load,
        int speedLimitPercent,
        long lastProgressMs,
        FirstReport firstReport) {
    /** Rejects null components. */
    public RunRow {
        requireNonNull(firstReport);
        requireNonNull(task);
        requireNonNull(executor);
        requireNonNull(team);
        requireNonNull(demand);
        requireNonNull(reserved);
        requireNonNull(stage);
        requireNonNull(reason);
        requireNonNull(checkpoint);
    }

    /**
     * Creates a run that this owner has followed since the answer to its start order, without any
     * progress at that time.
     */
    public RunRow(
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
            int progressPercent,
            long load,
            int speedLimitPercent,
            long lastProgressMs) {
        this(
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
                progressPercent,
                load,
                speedLimitPercent,
                lastProgressMs,
                new FirstReport(0, orderAnsweredMs));
    }

    /** Returns the progress that was reported since the first report, in percent. */
    public int gainedPercent() {
        return firstReport.isPresent() ? progressPercent - firstReport.percent() : 0;
    }

    /** Returns this run, confirmed to be on its executor. */
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
                progressPercent,
                load,
                speedLimitPercent,
                nowMs,
                firstReport);
    }

    /** Returns this run after sending an order to stop it. */
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
                progressPercent,
                load,
                speedLimitPercent,
                lastProgressMs,
                firstReport);
    }

    /**
     * Returns this run after the call of its last order completed.
     *
     * @param nowMs the current time; 0 if the order got no answer, so that it is sent again
     */
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
                progressPercent,
                load,
                speedLimitPercent,
                lastProgressMs,
                firstReport);
    }

    /** Returns this run with what its executor reports of it. */
    public RunRow withReport(ReportedRun report, long nowMs) {
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
                report.checkpoint().isEmpty() ? checkpoint : report.checkpoint(),
                report.progressPercent(),
                report.load(),
                speedLimitPercent,
                report.progressPercent() != progressPercent
                                || !report.checkpoint().equals(checkpoint)
                        ? nowMs
                        : lastProgressMs,
                firstReport.isPresent()
                        ? firstReport
                        : new FirstReport(report.progressPercent(), nowMs));
    }

    /** Returns this run throttled to a part of its full speed, in percent. */
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
                progressPercent,
                load,
                newSpeedLimitPercent,
                lastProgressMs,
                firstReport);
    }
}
