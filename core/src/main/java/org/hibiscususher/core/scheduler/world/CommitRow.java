package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Map;
import org.hibiscususher.core.scheduler.message.RecordGuard;
import org.hibiscususher.core.scheduler.message.RecordName;
import org.hibiscususher.core.scheduler.message.RecordWrite;

/**
 * The commit that is under way; there is at most one.
 *
 * @param purpose what it is for
 * @param callId store call
 * @param guards conditions
 * @param writes records to write
 * @param removals records to remove
 * @param versions for each job whose progress it writes, the version
 * @param sentMs when it was first sent
 * @param retryAtMs when to send it again; 0 if an answer is awaited
 * @param uncertain whether a try of it may have taken effect
 * @param attempts how often it was sent
 */
public record CommitRow(
        CommitPurpose purpose,
        long callId,
        List<RecordGuard> guards,
        List<RecordWrite> writes,
        List<RecordName> removals,
        Map<String, Long> versions,
        long sentMs,
        long retryAtMs,
        boolean uncertain,
        int attempts) {
    /** Checks the parts. */
    public CommitRow {
        requireNonNull(purpose);
        guards = List.copyOf(guards);
        writes = List.copyOf(writes);
        removals = List.copyOf(removals);
        versions = Map.copyOf(versions);
    }

    /** Returns this row sent once more. */
    public CommitRow withRetry(long newCallId) {
        return new CommitRow(
                purpose,
                newCallId,
                guards,
                writes,
                removals,
                versions,
                sentMs,
                0,
                uncertain,
                attempts + 1);
    }

    /** Returns this row to be sent again later. */
    public CommitRow withFailure(long newRetryAtMs, boolean newUncertain) {
        return new CommitRow(
                purpose,
                callId,
                guards,
                writes,
                removals,
                versions,
                sentMs,
                newRetryAtMs,
                uncertain || newUncertain,
                attempts);
    }
}
