package org.hibiscususher.core.scheduler.world;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Map;
import org.hibiscususher.core.scheduler.message.RecordGuard;
import org.hibiscususher.core.scheduler.message.RecordName;
import org.hibiscususher.core.scheduler.message.RecordWrite;

/**
 * A commit in flight. Commits that are in flight at the same time name different records.
 *
 * @param id id of the commit, the call id of its first attempt
 * @param purpose whether it also ends this process's term
 * @param callId id of the last attempt's store call
 * @param guards revisions that the records must have for the commit to take effect
 * @param writes records to write
 * @param removals names of the records to remove
 * @param versions version of the progress written, by job id
 * @param sentMs when the first attempt was sent, in milliseconds of the steady clock
 * @param retryAtMs when to send the next attempt; 0 while a reply is awaited
 * @param uncertain whether an attempt without a reply may have taken effect
 * @param attempts number of attempts sent
 */
public record CommitRow(
        long id,
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
    /** Rejects null components and copies the collections. */
    public CommitRow {
        requireNonNull(purpose);
        guards = List.copyOf(guards);
        writes = List.copyOf(writes);
        removals = List.copyOf(removals);
        versions = Map.copyOf(versions);
    }

    /** Returns this commit after sending another attempt. */
    public CommitRow withRetry(long newCallId) {
        return new CommitRow(
                id,
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

    /**
     * Returns this commit after a failed attempt.
     *
     * @param newRetryAtMs when to send the next attempt, in milliseconds of the steady clock
     * @param newUncertain whether the failed attempt may have taken effect
     */
    public CommitRow withFailure(long newRetryAtMs, boolean newUncertain) {
        return new CommitRow(
                id,
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

    /** Returns whether the commit writes or removes a record. */
    public boolean names(RecordName name) {
        return removals.contains(name)
                || writes.stream().anyMatch(write -> write.record().name().equals(name));
    }

    /**
     * Returns whether the commit has taken effect, going by the records as the store holds them
     * now. Only the owner changes them, and no other commit in flight names them, so they show an
     * attempt of this commit or nothing new.
     *
     * @param current revisions of the records that this commit requires; a record that does not
     *     exist may be missing
     */
    public boolean isVisibleIn(Map<RecordName, Long> current) {
        return guards.stream()
                .filter(guard -> names(guard.name()))
                .anyMatch(g -> current.getOrDefault(g.name(), 0L) != g.revision());
    }
}
