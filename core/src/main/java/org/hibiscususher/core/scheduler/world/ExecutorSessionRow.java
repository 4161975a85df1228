package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

/**
 * The contact with an executor.
 *
 * @param executor executor
 * @param bornMs start of its life, in milliseconds since the epoch; 0 if not known
 * @param fence highest fence that it has surely seen from this owner; 0 for none
 * @param clockMs its clock at the last answer
 * @param clockAtMs when that answer came
 * @param leaseEndMs when its lease has surely ended; 0 if it has none
 * @param callId reading of its lists that is awaited; 0 for none
 * @param callFence fence of that reading
 * @param sentMs when that reading was sent
 * @param nextMs when to read next
 * @param answeredMs when it last answered; 0 for never
 * @param failures readings without an answer in a row
 * @param seen number of the last end that was acknowledged
 * @param listed number of the last end that was taken in
 * @param asideUntilMs until when it gets no new runs
 */
public record ExecutorSessionRow(
        String executor,
        long bornMs,
        long fence,
        long clockMs,
        long clockAtMs,
        long leaseEndMs,
        long callId,
        long callFence,
        long sentMs,
        long nextMs,
        long answeredMs,
        int failures,
        long seen,
        long listed,
        long asideUntilMs) {
    /** Checks the parts. */
    public ExecutorSessionRow {
        requireNonNull(executor);
    }

    /** Returns the contact with an executor that has not answered yet. */
    public static ExecutorSessionRow initial(String executor, long leaseEndMs) {
        return new ExecutorSessionRow(executor, 0, 0, 0, 0, leaseEndMs, 0, 0, 0, 0, 0, 0, 0, 0, 0);
    }

    /** Returns this contact with a reading sent. */
    public ExecutorSessionRow sent(long newCallId, long newFence, long nowMs, long newLeaseEndMs) {
        return new ExecutorSessionRow(
                executor,
                bornMs,
                fence,
                clockMs,
                clockAtMs,
                Math.max(leaseEndMs, newLeaseEndMs),
                newCallId,
                newFence,
                nowMs,
                nextMs,
                answeredMs,
                failures,
                seen,
                listed,
                asideUntilMs);
    }

    /** Returns this contact with an answer. */
    public ExecutorSessionRow answered(long newBornMs, long newClockMs, long nowMs) {
        return new ExecutorSessionRow(
                executor,
                newBornMs,
                callFence,
                newClockMs,
                nowMs,
                leaseEndMs,
                0,
                callFence,
                sentMs,
                nowMs,
                nowMs,
                0,
                seen,
                listed,
                asideUntilMs);
    }

    /** Returns this contact with a reading that failed. */
    public ExecutorSessionRow failed(long newNextMs) {
        return new ExecutorSessionRow(
                executor,
                bornMs,
                fence,
                clockMs,
                clockAtMs,
                leaseEndMs,
                0,
                callFence,
                sentMs,
                newNextMs,
                answeredMs,
                failures + 1,
                seen,
                listed,
                asideUntilMs);
    }

    /** Returns this contact with ends taken in. */
    public ExecutorSessionRow withListed(long newListed) {
        return new ExecutorSessionRow(
                executor,
                bornMs,
                fence,
                clockMs,
                clockAtMs,
                leaseEndMs,
                callId,
                callFence,
                sentMs,
                nextMs,
                answeredMs,
                failures,
                seen,
                Math.max(listed, newListed),
                asideUntilMs);
    }

    /** Returns this contact with ends acknowledged. */
    public ExecutorSessionRow withSeen(long newSeen) {
        return new ExecutorSessionRow(
                executor,
                bornMs,
                fence,
                clockMs,
                clockAtMs,
                leaseEndMs,
                callId,
                callFence,
                sentMs,
                nextMs,
                answeredMs,
                failures,
                Math.max(seen, newSeen),
                listed,
                asideUntilMs);
    }

    /** Returns this contact with the next reading not before a time. */
    public ExecutorSessionRow withNext(long newNextMs) {
        return new ExecutorSessionRow(
                executor,
                bornMs,
                fence,
                clockMs,
                clockAtMs,
                leaseEndMs,
                callId,
                callFence,
                sentMs,
                newNextMs,
                answeredMs,
                failures,
                seen,
                listed,
                asideUntilMs);
    }

    /** Returns this contact with a lease that may last longer. */
    public ExecutorSessionRow withLeaseEnd(long newLeaseEndMs) {
        return new ExecutorSessionRow(
                executor,
                bornMs,
                fence,
                clockMs,
                clockAtMs,
                Math.max(leaseEndMs, newLeaseEndMs),
                callId,
                callFence,
                sentMs,
                nextMs,
                answeredMs,
                failures,
                seen,
                listed,
                asideUntilMs);
    }

    /** Returns this contact whose lease has surely ended at a time. */
    public ExecutorSessionRow withLeaseEndAt(long newLeaseEndMs) {
        return new ExecutorSessionRow(
                executor,
                bornMs,
                fence,
                clockMs,
                clockAtMs,
                newLeaseEndMs,
                callId,
                callFence,
                sentMs,
                nextMs,
                answeredMs,
                failures,
                seen,
                listed,
                asideUntilMs);
    }

    /** Returns this contact without new runs for some time. */
    public ExecutorSessionRow aside(long untilMs) {
        return new ExecutorSessionRow(
                executor,
                bornMs,
                fence,
                clockMs,
                clockAtMs,
                leaseEndMs,
                callId,
                callFence,
                sentMs,
                nextMs,
                answeredMs,
                failures,
                seen,
                listed,
                Math.max(asideUntilMs, untilMs));
    }

    /** Returns the executor's clock at the given time of ours. */
    public long clockAt(long nowMs) {
        return clockMs + nowMs - clockAtMs;
    }
}
