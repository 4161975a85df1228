package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

/**
 * The contact with an executor.
 *
 * @param executor executor
 * @param startedAtMs start of its life, in milliseconds since the epoch; 0 if not known
 * @param confirmedFence highest fence that it has surely seen from this owner; 0 for none
 * @param executorClockMs its clock at the last answer
 * @param clockReadAtMs when that answer came
 * @param leaseEndMs when its lease has surely ended; 0 if it has none
 * @param heartbeatCallId reading of its lists that is awaited; 0 for none
 * @param heartbeatFence fence of that reading
 * @param heartbeatSentMs when that reading was sent
 * @param nextHeartbeatMs when to read next
 * @param lastAnswerMs when it last answered; 0 for never
 * @param consecutiveFailures readings without an answer in a row
 * @param acknowledgedSequence number of the last end that was acknowledged
 * @param appliedSequence number of the last end that was taken in
 * @param quarantinedUntilMs until when it gets no new runs
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
    /** Checks the parts. */
    public ExecutorSessionRow {
        requireNonNull(executor);
    }

    /** Returns the contact with an executor that has not answered yet. */
    public static ExecutorSessionRow initial(String executor, long leaseEndMs) {
        return new ExecutorSessionRow(executor, 0, 0, 0, 0, leaseEndMs, 0, 0, 0, 0, 0, 0, 0, 0, 0);
    }

    /** Returns this contact with a reading sent. */
    public ExecutorSessionRow withHeartbeatSent(
            long newHeartbeatCallId, long newConfirmedFence, long nowMs, long newLeaseEndMs) {
        return new ExecutorSessionRow(
                executor,
                startedAtMs,
                confirmedFence,
                executorClockMs,
                clockReadAtMs,
                Math.max(leaseEndMs, newLeaseEndMs),
                newHeartbeatCallId,
                newConfirmedFence,
                nowMs,
                nextHeartbeatMs,
                lastAnswerMs,
                consecutiveFailures,
                acknowledgedSequence,
                appliedSequence,
                quarantinedUntilMs);
    }

    /** Returns this contact with an answer. */
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

    /** Returns this contact with a reading that failed. */
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

    /** Returns this contact with ends taken in. */
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

    /** Returns this contact with ends acknowledged. */
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

    /** Returns this contact with the next reading not before a time. */
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

    /** Returns this contact with a lease that may last longer. */
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

    /** Returns this contact whose lease has surely ended at a time. */
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

    /** Returns this contact without new runs for some time. */
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

    /** Returns the executor's clock at the given time of ours. */
    public long executorClockAt(long nowMs) {
        return executorClockMs + nowMs - clockReadAtMs;
    }
}
