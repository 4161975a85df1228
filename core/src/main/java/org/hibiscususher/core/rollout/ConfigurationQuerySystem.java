package org.hibiscususher.core.rollout;

import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.message.Input.ExportRequested;
import org.hibiscususher.core.message.Input.HistoryRequested;
import org.hibiscususher.core.message.Input.NoteCheckRequested;
import org.hibiscususher.core.message.Input.RecordRead;
import org.hibiscususher.core.message.Input.StoreFailed;
import org.hibiscususher.core.message.Output.ReadRecord;
import org.hibiscususher.core.message.Output.ReplyToExport;
import org.hibiscususher.core.message.Output.ReplyToHistory;
import org.hibiscususher.core.message.Output.ReplyToNoteCheck;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.RecordKind;
import org.hibiscususher.core.message.StoreRecord.HeadRecord;
import org.hibiscususher.core.message.StoreRecord.HistoryRecord;
import org.hibiscususher.core.message.StoreRecord.NoteRecord;
import org.hibiscususher.core.message.VersionedRecord;
import org.hibiscususher.core.note.AcceptedNote;
import org.hibiscususher.core.note.NoteChecker;
import org.hibiscususher.core.world.HistoryQueryRow;
import org.hibiscususher.core.world.Tick;

/**
 * Answers operators' queries: exports of the active configuration, checks of release notes, and
 * queries of the history of notes.
 *
 * <p>Exports and checks are answered from the tables in the same tick. The newest notes are in the
 * head; older ones are read from the store record by record, newest first.
 */
public final class ConfigurationQuerySystem {
    /** Time after selector a history query is answered with the notes found so far. */
    private static final int QUERY_TIMEOUT_MS = 10_000;

    private ConfigurationQuerySystem() {}

    /** Answers the queries whose answer is known here, and reads older notes for the others. */
    public static void run(Tick tick) {
        for (ExportRequested request : tick.inputs(ExportRequested.class)) {
            tick.emit(new ReplyToExport(request.callId(), tick.world().configuration()));
        }
        for (NoteCheckRequested request : tick.inputs(NoteCheckRequested.class)) {
            var configuration = tick.world().configuration();
            var checked = NoteChecker.check(request.note(), configuration);
            tick.emit(
                    new ReplyToNoteCheck(
                            request.callId(), configuration.revision(), checked.findings()));
        }
        for (HistoryRequested request : tick.inputs(HistoryRequested.class)) {
            start(tick, request);
        }
        for (RecordRead read : tick.inputs(RecordRead.class)) {
            findByStoreCall(tick, read.callId()).ifPresent(q -> applyRecord(tick, q, read.found()));
        }
        for (StoreFailed failed : tick.inputs(StoreFailed.class)) {
            findByStoreCall(tick, failed.callId()).ifPresent(q -> replyIncomplete(tick, q));
        }
        for (HistoryQueryRow query : tick.world().historyQueries().rows()) {
            if (tick.nowMs() - query.sinceMs() >= QUERY_TIMEOUT_MS) {
                replyIncomplete(tick, query);
            }
        }
    }

    /**
     * Collects the matching notes that are known here, then reads the store if some may be missing.
     *
     * <p>The notes that peers relayed may be newer than the newest head that was read.
     */
    private static void start(Tick tick, HistoryRequested request) {
        HeadRecord head = tick.world().head().record();
        List<AcceptedNote> newer =
                ActiveConfiguration.notesAfter(tick.world(), head.revision()).orElse(List.of());
        HistoryQueryRow query =
                new HistoryQueryRow(
                                request.callId(),
                                request.selector(),
                                request.limit(),
                                List.of(),
                                0,
                                tick.nowMs())
                        .withMatches(newer)
                        .withMatches(head.notes());
        boolean byId = !request.selector().isEmpty() && !isRevision(request.selector());
        if (byId && !query.isComplete() && !head.history().isEmpty()) {
            read(tick, query, new RecordKey(RecordKind.NOTE, request.selector()));
        } else {
            readOlder(tick, query, head.history());
        }
    }

    private static boolean isRevision(String selector) {
        return selector.chars().allMatch(Character::isDigit);
    }

    /** Continues a query with the record that was read; an absent one ends the query. */
    private static void applyRecord(
            Tick tick, HistoryQueryRow query, Optional<VersionedRecord> found) {
        if (found.isEmpty()) {
            reply(tick, query);
        } else if (found.get().value() instanceof NoteRecord note) {
            readOlder(tick, query, note.history());
        } else if (found.get().value() instanceof HistoryRecord history) {
            readOlder(tick, query.withMatches(history.notes()), history.previous());
        }
    }

    /**
     * Reads the next older history record, or answers if enough notes were found or none is older.
     */
    private static void readOlder(Tick tick, HistoryQueryRow query, String olderName) {
        if (query.isComplete() || olderName.isEmpty()) {
            reply(tick, query);
        } else {
            read(tick, query, new RecordKey(RecordKind.HISTORY, olderName));
        }
    }

    private static void read(Tick tick, HistoryQueryRow query, RecordKey key) {
        long callId = tick.nextCallId();
        tick.world().historyQueries().put(query.callId(), query.waitingFor(callId));
        tick.emit(new ReadRecord(callId, key));
    }

    private static void reply(Tick tick, HistoryQueryRow query) {
        boolean missing = !query.selector().isEmpty() && query.found().isEmpty();
        String detail =
                missing ? "no accepted note has the revision or id " + query.selector() : "";
        sendReply(tick, query, detail);
    }

    private static void replyIncomplete(Tick tick, HistoryQueryRow query) {
        sendReply(tick, query, "the platform's store did not answer; older notes are not shown");
    }

    private static void sendReply(Tick tick, HistoryQueryRow query, String detail) {
        tick.world().historyQueries().remove(query.callId());
        tick.emit(new ReplyToHistory(query.callId(), query.found(), detail));
    }

    private static Optional<HistoryQueryRow> findByStoreCall(Tick tick, long storeCallId) {
        return tick.world().historyQueries().rows().stream()
                .filter(q -> q.storeCallId() == storeCallId)
                .findFirst();
    }
}
