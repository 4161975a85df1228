package org.hibiscususher.core.message;

import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.config.Capacity;
import org.hibiscususher.core.config.KeyDigest;
import org.hibiscususher.core.note.ReleaseNote;

/** An event or a request that the control thread handles in its next tick. */
public sealed interface Input {
    /**
     * The head of a caller's request has arrived.
     *
     * @param requestId unique within this process
     * @param queue name of the queue
     * @param key digest of the access key's secret; empty if the request has none
     * @param idempotent whether running the request twice does no harm
     * @param idempotencyKey text of the idempotency key, which the caller repeats when it sends the
     *     same request again; empty if none
     * @param waitLimitMs longest time that the caller is willing to wait for a start, in
     *     milliseconds; 0 for the limit of the queue
     * @param needs capacity that the request declares to need on its host
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
     * The caller of a request that has not been started disconnected.
     *
     * @param requestId the request
     */
    record RequestCancelled(long requestId) implements Input {}

    /**
     * An attempt on a target ended, or its caller disconnected.
     *
     * @param requestId the request
     * @param attempt number of the attempt, from 1
     * @param outcome how it ended
     */
    record AttemptEnded(long requestId, int attempt, AttemptOutcome outcome) implements Input {}

    /**
     * A target finished an attempt that had already ended for its caller.
     *
     * @param requestId the request
     * @param attempt number of the attempt, from 1
     */
    record TargetFinished(long requestId, int attempt) implements Input {}

    /**
     * A message from another entry.
     *
     * @param message the message as decoded; not yet checked against the membership record
     */
    record PeerMessageReceived(PeerMessage message) implements Input {}

    /**
     * The address of another entry refused a connection.
     *
     * @param memberId the member expected at the address
     * @param incarnation the incarnation expected there
     */
    record PeerConnectionRefused(String memberId, long incarnation) implements Input {}

    /**
     * The result of {@link Output.ReadRecord}.
     *
     * @param callId id of the call
     * @param key the key that was read
     * @param found the record, empty if there is none
     */
    record RecordRead(long callId, RecordKey key, Optional<VersionedRecord> found)
            implements Input {}

    /**
     * The result of {@link Output.SwapRecord}.
     *
     * @param callId id of the call
     * @param key the key
     * @param result whether the record was written
     */
    record RecordSwapped(long callId, RecordKey key, SwapResult result) implements Input {}

    /**
     * A read of the platform's store failed.
     *
     * @param callId id of the call
     */
    record StoreFailed(long callId) implements Input {}

    /**
     * A watch has delivered a record.
     *
     * @param key its key
     * @param record its value and version
     */
    record RecordWatched(RecordKey key, VersionedRecord record) implements Input {}

    /**
     * The result of {@link Output.ReadHostList}.
     *
     * @param hosts the hosts that are live or leaving
     */
    record HostListRead(List<PlatformHost> hosts) implements Input {
        /** Makes a defensive copy of the list. */
        public HostListRead {
            hosts = List.copyOf(hosts);
        }
    }

    /**
     * An operator has submitted a release note.
     *
     * @param callId id of the operator's call, for the reply
     * @param note the note
     * @param wallMs arrival time in milliseconds since 1970 of the wall clock; stored in the
     *     history and not used in decisions
     */
    record NoteSubmitted(long callId, ReleaseNote note, long wallMs) implements Input {}

    /**
     * An operator requests a dry run of a release note.
     *
     * @param callId id of the operator's call, for the reply
     * @param note the note
     */
    record NoteCheckRequested(long callId, ReleaseNote note) implements Input {}

    /**
     * An operator requests accepted notes.
     *
     * @param callId id of the operator's call, for the reply
     * @param selector the revision or the id of one note; empty for the newest ones
     * @param limit largest number of notes to return, 1 or more
     */
    record HistoryRequested(long callId, String selector, int limit) implements Input {}

    /**
     * An operator requests the configuration in force.
     *
     * @param callId id of the operator's call, for the reply
     */
    record ExportRequested(long callId) implements Input {}

    /**
     * The process was asked to shut down: it finishes its running requests and leaves the
     * membership.
     */
    record ShutdownRequested() implements Input {}

    /**
     * An operator requests the state of this entry.
     *
     * @param callId id of the operator's call, for the reply
     */
    record StatusRequested(long callId) implements Input {}

    /**
     * The result of {@link Output.ReadFleetRecords}.
     *
     * @param callId id of the call
     * @param version version of the whole store at the time of the read
     * @param records the records that were requested
     */
    record FleetRecordsRead(long callId, long version, List<FleetRecord> records) implements Input {
        /** Makes a defensive copy of the list. */
        public FleetRecordsRead {
            records = List.copyOf(records);
        }
    }

    /**
     * The result of {@link Output.RebootHost}.
     *
     * @param host the host
     * @param token the token of the call
     * @param result whether the platform reboots the host
     */
    record RebootResponse(String host, String token, RebootResult result) implements Input {}

    /**
     * An operator has sent a command about the maintenance wave.
     *
     * @param callId id of the operator's call, for the reply
     * @param command the command
     * @param pools the pools to plan a wave for; empty for all
     */
    record WaveCommandReceived(long callId, WaveCommand command, List<String> pools)
            implements Input {
        /** Makes a defensive copy of the list. */
        public WaveCommandReceived {
            pools = List.copyOf(pools);
        }
    }
}
