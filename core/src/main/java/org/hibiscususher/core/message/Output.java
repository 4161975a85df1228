package org.hibiscususher.core.message;

import java.util.List;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.note.AcceptedNote;
import org.hibiscususher.core.note.Finding;

/** An action that the process carries out after a tick. */
public sealed interface Output {
    /**
     * Sends a request to a target.
     *
     * @param requestId the request
     * @param attempt number of the attempt, from 1
     * @param host the target host
     * @param address IP address and port of the target
     * @param runLimitMs longest time that the caller waits for a response to begin, in milliseconds
     * @param longestRunMs time after which the run counts as over even if the target has not
     *     finished it, in milliseconds
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
     * Ends a caller's request without a response from a target.
     *
     * @param requestId the request
     * @param refusal why
     */
    record RefuseRequest(long requestId, Refusal refusal) implements Output {}

    /**
     * Sends a message to another entry.
     *
     * @param memberId id of the receiver
     * @param address IP address and port of the receiver
     * @param message the message
     */
    record SendPeerMessage(String memberId, String address, PeerMessage message)
            implements Output {}

    /**
     * Reads a record of the platform's store.
     *
     * @param callId id of the call, which the result repeats
     * @param key the record to read
     */
    record ReadRecord(long callId, RecordKey key) implements Output {}

    /**
     * Writes a record of the platform's store by compare-and-swap.
     *
     * @param callId id of the call, which the result repeats
     * @param key the record to write
     * @param expectedVersion the version last seen, 0 if there is no record; with any other version
     *     in the store nothing is written
     * @param value the new value
     */
    record SwapRecord(long callId, RecordKey key, long expectedVersion, StoreRecord value)
            implements Output {}

    /**
     * Responds to a submitted release note.
     *
     * @param callId id of the operator's call
     * @param result whether the note is in force
     * @param revision the revision that the note became, or with which it is in conflict; 0 if none
     * @param detail one line of explanation for the operator
     * @param findings errors and warnings about the note
     */
    record ReplyToNote(
            long callId, NoteResult result, long revision, String detail, List<Finding> findings)
            implements Output {
        /** Makes a defensive copy of the findings. */
        public ReplyToNote {
            findings = List.copyOf(findings);
        }
    }

    /**
     * Responds to a dry run of a release note.
     *
     * @param callId id of the operator's call
     * @param revision the revision against which the note was checked
     * @param findings errors and warnings about the note
     */
    record ReplyToNoteCheck(long callId, long revision, List<Finding> findings) implements Output {
        /** Makes a defensive copy of the findings. */
        public ReplyToNoteCheck {
            findings = List.copyOf(findings);
        }
    }

    /**
     * Responds to a query of accepted notes.
     *
     * @param callId id of the operator's call
     * @param notes the notes, newest first
     * @param detail one line of explanation for the operator if notes are missing; otherwise empty
     */
    record ReplyToHistory(long callId, List<AcceptedNote> notes, String detail) implements Output {
        /** Makes a defensive copy of the notes. */
        public ReplyToHistory {
            notes = List.copyOf(notes);
        }
    }

    /**
     * Responds with the configuration in force.
     *
     * @param callId id of the operator's call
     * @param configuration the configuration
     */
    record ReplyToExport(long callId, Configuration configuration) implements Output {}

    /**
     * Increments a counter.
     *
     * @param counter name of the counter, such as {@code refusal.key-missing}
     */
    record Count(String counter) implements Output {}

    /**
     * Logs an event.
     *
     * @param event one line of {@code key=value} pairs that begins with {@code event=}
     */
    record LogEvent(String event) implements Output {}

    /** Reads the platform's list of hosts. */
    record ReadHostList() implements Output {}

    /** Reports that nothing is left to finish, so that the process may exit. */
    record ShutdownDone() implements Output {}

    /**
     * Responds with the state of this entry.
     *
     * @param callId id of the operator's call
     * @param report the state
     */
    record ReplyToStatus(long callId, StatusReport report) implements Output {}

    /**
     * Reads the records about hosts that have changed.
     *
     * @param callId id of the call, which the result repeats
     * @param sinceVersion store version; only records with a higher version are read
     */
    record ReadFleetRecords(long callId, long sinceVersion) implements Output {}

    /**
     * Asks the platform to reboot a host if its boot id is as expected.
     *
     * @param host the host
     * @param bootId the expected boot id; with another one the platform does nothing
     * @param token identifies the reboot, so that repeated calls reboot the host once
     */
    record RebootHost(String host, String bootId, String token) implements Output {}

    /**
     * Responds to a command about the maintenance wave.
     *
     * @param callId id of the operator's call
     * @param report the result of the command and the state of the wave
     */
    record ReplyToWave(long callId, WaveReport report) implements Output {}
}
