package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

/**
 * This owner's session with an executor: the heartbeats that renew the executor's lease and read
 * its lists of runs.
 *
 * <p>An executor ends its runs when its lease expires on its own clock. The owner can't observe
 * that moment, so it keeps the time by which the lease has certainly expired on the owner's clock:
 * restarting the runs of a silent executor before then could run a task twice.
 *
 * <p>Times without another unit are milliseconds of this process's steady clock.
 *
 * @param executor executor id
 * @param startedAtMs start time of the executor's process, in milliseconds since the epoch, which
 *     tells its incarnations apart; 0 if not known
 * @param confirmedFence highest fence of this owner that the executor has certainly seen; 0 for
 *     none
 * @param executorClockMs time on the executor's own clock at its last answer, in milliseconds
 * @param clockReadAtMs when that answer arrived
 * @param leaseEndMs when the lease has certainly expired; 0 if the executor has none
 * @param heartbeatCallId id of the heartbeat in flight; 0 for none
 * @param heartbeatFence fence that the last heartbeat carried
 * @param heartbeatSentMs when the last heartbeat was sent
 * @param nextHeartbeatMs earliest time of the next heartbeat
 * @param lastAnswerMs when the executor last answered a heartbeat; 0 for never
 * @param consecutiveFailures failed heartbeats since the last answer
 * @param acknowledgedSequence highest sequence number of a finished run that this owner
 *     acknowledges, so that the executor stops listing the run
 * @param appliedSequence highest sequence number of a finished run that the tables reflect
 * @param quarantinedUntilMs until when no new runs are started on the executor
 */
public record ExecutorSessionRow(
        String executor,
        long startedAtMs,
        long confirmedFence,
        long executorClockMs,
        long clockReadAtMs,
        long leaseEndMs,
        long heartbeatCallId,
        long heartbeatFence,
        long heartbeatSentMs,
        long nextHeartbeatMs,
        long lastAnswerMs,
        int consecutiveFailures,
        long acknowledgedSequence,
        long appliedSequence,
        long quarantinedUntilMs) {
    /** Rejects null components. */
    public ExecutorSessionRow {
        requireNonNull(executor);
    }

    /**
     * Returns the session with an executor that has not answered this owner yet.
     *
     * @param executor executor id
     * @param leaseEndMs when a lease that it may hold has certainly expired; 0 if it has none
     */
    public static ExecutorSessionRow initial(String executor, long leaseEndMs) {
        return new ExecutorSessionRow(executor, 0, 0, 0, 0, leaseEndMs, 0, 0, 0, 0, 0, 0, 0, 0, 0);
    }

    /**
     * Returns this session after sending a heartbeat.
     *
     * @param newHeartbeatCallId id of the heartbeat
     * @param newFence fence that the heartbeat carries
     * @param nowMs the current time
     * @param newLeaseEndMs when the renewed lease has certainly expired; 0 if the heartbeat renews
     *     none
     */
    public ExecutorSessionRow withHeartbeatSent(
            long newHeartbeatCallId, long newFence, long nowMs, long newLeaseEndMs) {
        return new ExecutorSessionRow(
                executor,
                startedAtMs,
                confirmedFence,
                executorClockMs,
                clockReadAtMs,
                Math.max(leaseEndMs, newLeaseEndMs),
                newHeartbeatCallId,
                newFence,
                nowMs,
                nextHeartbeatMs,
                lastAnswerMs,
                consecutiveFailures,
                acknowledgedSequence,
                appliedSequence,
                quarantinedUntilMs);
    }

    /**
     * Returns this session after an answer, which confirms the fence of the heartbeat. The next
     * heartbeat may be sent at once.
     *
     * @param newStartedAtMs start time of the executor's process, in milliseconds since the epoch
     * @param newExecutorClockMs time on the executor's clock, in milliseconds
     * @param nowMs the current time
     */
    public ExecutorSessionRow withHeartbeatAnswered(
            long newStartedAtMs, long newExecutorClockMs, long nowMs) {
        return new ExecutorSessionRow(
                executor,
                newStartedAtMs,
                heartbeatFence,
                newExecutorClockMs,
                nowMs,
                leaseEndMs,
                0,
                heartbeatFence,
                heartbeatSentMs,
                nowMs,
                nowMs,
                0,
                acknowledgedSequence,
                appliedSequence,
                quarantinedUntilMs);
    }

    /**
     * Returns this session after a failed heartbeat.
     *
     * @param newNextHeartbeatMs earliest time of the next heartbeat
     */
    public ExecutorSessionRow withHeartbeatFailed(long newNextHeartbeatMs) {
        return new ExecutorSessionRow(
                executor,
                startedAtMs,
                confirmedFence,
                executorClockMs,
                clockReadAtMs,
                leaseEndMs,
                0,
                heartbeatFence,
                heartbeatSentMs,
                newNextHeartbeatMs,
                lastAnswerMs,
                consecutiveFailures + 1,
                acknowledgedSequence,
                appliedSequence,
                quarantinedUntilMs);
    }

    /** Returns this session with at least the given sequence number applied to the tables. */
    public ExecutorSessionRow withAppliedSequence(long newAppliedSequence) {
        return new ExecutorSessionRow(
                executor,
                startedAtMs,
                confirmedFence,
                executorClockMs,
                clockReadAtMs,
                leaseEndMs,
                heartbeatCallId,
                heartbeatFence,
                heartbeatSentMs,
                nextHeartbeatMs,
                lastAnswerMs,
                consecutiveFailures,
                acknowledgedSequence,
                Math.max(appliedSequence, newAppliedSequence),
                quarantinedUntilMs);
    }

    /** Returns this session with at least the given sequence number acknowledged. */
    public ExecutorSessionRow withAcknowledgedSequence(long newAcknowledgedSequence) {
        return new ExecutorSessionRow(
                executor,
                startedAtMs,
                confirmedFence,
                executorClockMs,
                clockReadAtMs,
                leaseEndMs,
                heartbeatCallId,
                heartbeatFence,
                heartbeatSentMs,
                nextHeartbeatMs,
                lastAnswerMs,
                consecutiveFailures,
                Math.max(acknowledgedSequence, newAcknowledgedSequence),
                appliedSequence,
                quarantinedUntilMs);
    }

    /** Returns this session with the next heartbeat not before the given time. */
    public ExecutorSessionRow withNextHeartbeat(long newNextHeartbeatMs) {
        return new ExecutorSessionRow(
                executor,
                startedAtMs,
                confirmedFence,
                executorClockMs,
                clockReadAtMs,
                leaseEndMs,
                heartbeatCallId,
                heartbeatFence,
                heartbeatSentMs,
                newNextHeartbeatMs,
                lastAnswerMs,
                consecutiveFailures,
                acknowledgedSequence,
                appliedSequence,
                quarantinedUntilMs);
    }

    /** Returns this session with the lease expired no earlier than the given time. */
    public ExecutorSessionRow withLeaseExtendedTo(long newLeaseEndMs) {
        return new ExecutorSessionRow(
                executor,
                startedAtMs,
                confirmedFence,
                executorClockMs,
                clockReadAtMs,
                Math.max(leaseEndMs, newLeaseEndMs),
                heartbeatCallId,
                heartbeatFence,
                heartbeatSentMs,
                nextHeartbeatMs,
                lastAnswerMs,
                consecutiveFailures,
                acknowledgedSequence,
                appliedSequence,
                quarantinedUntilMs);
    }

    /**
     * Returns this session with the lease certainly expired at the given time, which may be earlier
     * than before.
     */
    public ExecutorSessionRow withLeaseEndAt(long newLeaseEndMs) {
        return new ExecutorSessionRow(
                executor,
                startedAtMs,
                confirmedFence,
                executorClockMs,
                clockReadAtMs,
                newLeaseEndMs,
                heartbeatCallId,
                heartbeatFence,
                heartbeatSentMs,
                nextHeartbeatMs,
                lastAnswerMs,
                consecutiveFailures,
                acknowledgedSequence,
                appliedSequence,
                quarantinedUntilMs);
    }

    /** Returns this session with no new runs at least until the given time. */
    public ExecutorSessionRow quarantinedUntil(long untilMs) {
        return new ExecutorSessionRow(
                executor,
                startedAtMs,
                confirmedFence,
                executorClockMs,
                clockReadAtMs,
                leaseEndMs,
                heartbeatCallId,
                heartbeatFence,
                heartbeatSentMs,
                nextHeartbeatMs,
                lastAnswerMs,
                consecutiveFailures,
                acknowledgedSequence,
                appliedSequence,
                Math.max(quarantinedUntilMs, untilMs));
    }

    /**
     * Returns an estimate of the executor's clock at a time of this process's steady clock, from
     * its last answer.
     */
    public long executorClockAt(long nowMs) {
        return executorClockMs + nowMs - clockReadAtMs;
    }
}
