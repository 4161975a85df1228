package org.hibiscususher.core.message;

import java.util.List;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.note.AcceptedNote;
import org.hibiscususher.core.note.Finding;

/** Something that the process shall do after a tick. */
public sealed interface Output {
    /**
     * Send a request to a target.
     *
     * @param requestId the request
     * @param attempt number of the attempt, from 1
     * @param host the target host
     * @param address IP number and port of the target
     * @param runLimitMs longest that the caller waits for an answer to begin, in milliseconds
     * @param longestRunMs when the run counts as over whatever the target says, in milliseconds
     */
    record StartAttempt(
            long requestId,
            int attempt,
            String host,
            String address,
            int runLimitMs,
            int longestRunMs)
            implements Output {}

    /**
     * Answer a caller that its request ends without an answer from a target.
     *
     * @param requestId the request
     * @param refusal why
     */
    record RefuseRequest(long requestId, Refusal refusal) implements Output {}

    /**
     * Send a message to another entry.
     *
     * @param memberId the member
     * @param address IP number and port of the member
     * @param message the message
     */
    record SendPeerMessage(String memberId, String address, PeerMessage message)
            implements Output {}

    /**
     * Read a record of the platform's store.
     *
     * @param callId the call
     * @param key the key
     */
    record ReadRecord(long callId, RecordKey key) implements Output {}

    /**
     * Write a record of the platform's store if its version is as expected.
     *
     * @param callId the call
     * @param key the key
     * @param expectedVersion the version last seen, 0 if there is no record
     * @param value the new value
     */
    record SwapRecord(long callId, RecordKey key, long expectedVersion, StoreRecord value)
            implements Output {}

    /**
     * Answer an operator's release note.
     *
     * @param callId the call
     * @param result what became of it
     * @param revision the revision that the note became, or that stands in its way; 0 if none
     * @param detail one line for the operator
     * @param findings what is wrong with the note
     */
    record ReplyToNote(
            long callId, NoteResult result, long revision, String detail, List<Finding> findings)
            implements Output {
        /** Copies the findings. */
        public ReplyToNote {
            findings = List.copyOf(findings);
        }
    }

    /**
     * Answer an operator what a release note would lead to.
     *
     * @param callId the call
     * @param revision the revision that the note was checked against
     * @param findings what was found
     */
    record ReplyToNoteCheck(long callId, long revision, List<Finding> findings) implements Output {
        /** Copies the findings. */
        public ReplyToNoteCheck {
            findings = List.copyOf(findings);
        }
    }

    /**
     * Answer an operator with accepted notes.
     *
     * @param callId the call
     * @param notes the notes, newest first
     * @param detail one line for the operator if something is missing; else empty
     */
    record ReplyToHistory(long callId, List<AcceptedNote> notes, String detail) implements Output {
        /** Copies the notes. */
        public ReplyToHistory {
            notes = List.copyOf(notes);
        }
    }

    /**
     * Answer an operator with the configuration in force.
     *
     * @param callId the call
     * @param configuration the configuration
     */
    record ReplyToExport(long callId, Configuration configuration) implements Output {}

    /**
     * Count an event by reason.
     *
     * @param counter name of the counter, as {@code refusal.key-missing}
     */
    record Count(String counter) implements Output {}

    /**
     * Log an event.
     *
     * @param event one line of {@code key=value} pairs that begins with {@code event=}
     */
    record LogEvent(String event) implements Output {}

    /** Read the platform's list of hosts. */
    record ReadHostList() implements Output {}

    /** Nothing is left to finish: the process may exit. */
    record ShutdownDone() implements Output {}

    /**
     * Answer an operator how this entry is.
     *
     * @param callId the call
     * @param report the answer
     */
    record ReplyToStatus(long callId, StatusReport report) implements Output {}

    /**
     * Read the records about hosts that have changed.
     *
     * @param callId the call
     * @param sinceVersion records that are no newer than this are left out
     */
    record ReadFleetRecords(long callId, long sinceVersion) implements Output {}

    /**
     * Ask the platform to reboot a host, if its boot id is as expected.
     *
     * @param host the host
     * @param bootId the boot id that it is expected to have
     * @param token names the reboot; the platform carries out one call with the same token
     */
    record RebootHost(String host, String bootId, String token) implements Output {}

    /**
     * Answer an operator's command about the maintenance wave.
     *
     * @param callId the call
     * @param report the answer
     */
    record ReplyToWave(long callId, WaveReport report) implements Output {}
}
