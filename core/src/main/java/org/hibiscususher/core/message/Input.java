package org.hibiscususher.core.message;

import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.config.Capacity;
import org.hibiscususher.core.config.KeyDigest;
import org.hibiscususher.core.note.ReleaseNote;

/** Something that happened since the last tick. */
public sealed interface Input {
    /**
     * A caller has sent the head of a request.
     *
     * @param requestId unique within this process
     * @param queue name of the queue
     * @param key digest of the secret that came with it, or empty
     * @param idempotent whether running it twice does no harm
     * @param idempotencyKey id that the caller sends again with the same request; empty if none
     * @param waitLimitMs longest wait that the caller asks for, in milliseconds; 0 for the queue's
     * @param needs declared needs
     */
    record RequestArrived(
            long requestId,
            String queue,
            Optional<KeyDigest> key,
            boolean idempotent,
            String idempotencyKey,
            int waitLimitMs,
            Capacity needs)
            implements Input {}

    /**
     * The caller of a request that has not been started went away.
     *
     * @param requestId the request
     */
    record RequestCancelled(long requestId) implements Input {}

    /**
     * An attempt on a target ended, or its caller went away.
     *
     * @param requestId the request
     * @param attempt number of the attempt, from 1
     * @param outcome how it ended
     */
    record AttemptEnded(long requestId, int attempt, AttemptOutcome outcome) implements Input {}

    /**
     * A target is done with an attempt that had ended for its caller before.
     *
     * @param requestId the request
     * @param attempt number of the attempt
     */
    record TargetFinished(long requestId, int attempt) implements Input {}

    /**
     * A message from another entry.
     *
     * @param message the message
     */
    record PeerMessageReceived(PeerMessage message) implements Input {}

    /**
     * The address of another entry refused a connection.
     *
     * @param memberId the member that was expected there
     * @param incarnation the incarnation that was expected there
     */
    record PeerConnectionRefused(String memberId, long incarnation) implements Input {}

    /**
     * The answer to a read of the platform's store.
     *
     * @param callId the call
     * @param key the key that was read
     * @param found the record, empty if there is none
     */
    record RecordRead(long callId, RecordKey key, Optional<VersionedRecord> found)
            implements Input {}

    /**
     * The answer to a compare-and-swap.
     *
     * @param callId the call
     * @param key the key
     * @param result what is known
     */
    record RecordSwapped(long callId, RecordKey key, SwapResult result) implements Input {}

    /**
     * A read of the platform's store failed.
     *
     * @param callId the call
     */
    record StoreFailed(long callId) implements Input {}

    /**
     * A watch has shown a record.
     *
     * @param key the key
     * @param record the record
     */
    record RecordWatched(RecordKey key, VersionedRecord record) implements Input {}

    /**
     * The platform's list of hosts was read.
     *
     * @param hosts the hosts that are live or leaving
     */
    record HostListRead(List<PlatformHost> hosts) implements Input {
        /** Copies the list. */
        public HostListRead {
            hosts = List.copyOf(hosts);
        }
    }

    /**
     * An operator has sent a release note.
     *
     * @param callId the call to answer
     * @param note the note
     * @param wallMs when it came, in milliseconds since 1970 of the wall clock; for the history
     *     only
     */
    record NoteSubmitted(long callId, ReleaseNote note, long wallMs) implements Input {}

    /**
     * An operator asks what a release note would lead to.
     *
     * @param callId the call to answer
     * @param note the note
     */
    record NoteCheckRequested(long callId, ReleaseNote note) implements Input {}

    /**
     * An operator asks for accepted notes.
     *
     * @param callId the call to answer
     * @param selector the revision or the id of one note; empty for the newest ones
     * @param limit most notes to give, 1 or more
     */
    record HistoryRequested(long callId, String selector, int limit) implements Input {}

    /**
     * An operator asks for the configuration in force.
     *
     * @param callId the call to answer
     */
    record ExportRequested(long callId) implements Input {}

    /** The process was asked to stop: finish what runs, then leave. */
    record ShutdownRequested() implements Input {}

    /**
     * An operator asks how this entry is.
     *
     * @param callId the call to answer
     */
    record StatusRequested(long callId) implements Input {}

    /**
     * The answer to {@link Output.ReadFleetRecords}.
     *
     * @param callId the call
     * @param version the store's version at the time of the read
     * @param records the records that were asked for
     */
    record FleetRecordsRead(long callId, long version, List<FleetRecord> records) implements Input {
        /** Copies the list. */
        public FleetRecordsRead {
            records = List.copyOf(records);
        }
    }

    /**
     * The answer to {@link Output.RebootHost}.
     *
     * @param host the host
     * @param token the token of the call
     * @param result what is known
     */
    record RebootResponse(String host, String token, RebootResult result) implements Input {}

    /**
     * An operator gives a command about the maintenance wave.
     *
     * @param callId the call to answer
     * @param command the command
     * @param pools the pools to plan a wave for; empty for all
     */
    record WaveCommandReceived(long callId, WaveCommand command, List<String> pools)
            implements Input {
        /** Copies the list. */
        public WaveCommandReceived {
            pools = List.copyOf(pools);
        }
    }
}
