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

/** Answers operators what is in force, how it came about, and what a note would lead to. */
public final class ConfigurationQuerySystem {
    private static final int WAIT_LIMIT_MS = 10_000;

    private ConfigurationQuerySystem() {}

    /** Answers what is known here and reads what is not. */
    public static void run(Tick tick) {
        for (ExportRequested asked : tick.inputs(ExportRequested.class)) {
            tick.emit(new ReplyToExport(asked.callId(), tick.world().configuration()));
        }
        for (NoteCheckRequested asked : tick.inputs(NoteCheckRequested.class)) {
            var configuration = tick.world().configuration();
            var checked = NoteChecker.check(asked.note(), configuration);
            tick.emit(
                    new ReplyToNoteCheck(
                            asked.callId(), configuration.revision(), checked.findings()));
        }
        for (HistoryRequested asked : tick.inputs(HistoryRequested.class)) {
            begin(tick, asked);
        }
        for (RecordRead read : tick.inputs(RecordRead.class)) {
            find(tick, read.callId()).ifPresent(q -> settle(tick, q, read.found()));
        }
        for (StoreFailed failed : tick.inputs(StoreFailed.class)) {
            find(tick, failed.callId()).ifPresent(q -> giveUp(tick, q));
        }
        for (HistoryQueryRow query : tick.world().historyQueries().rows()) {
            if (tick.nowMs() - query.sinceMs() >= WAIT_LIMIT_MS) {
                giveUp(tick, query);
            }
        }
    }

    private static void begin(Tick tick, HistoryRequested asked) {
        HeadRecord head = tick.world().head().record();
        List<AcceptedNote> relayed =
                ActiveConfiguration.notesAfter(tick.world(), head.revision()).orElse(List.of());
        HistoryQueryRow query =
                new HistoryQueryRow(
                                asked.callId(),
                                asked.selector(),
                                asked.limit(),
                                List.of(),
                                0,
                                tick.nowMs())
                        .withMatches(relayed)
                        .withMatches(head.notes());
        boolean byId = !asked.selector().isEmpty() && !isRevision(asked.selector());
        if (byId && !query.isComplete() && !head.history().isEmpty()) {
            read(tick, query, new RecordKey(RecordKind.NOTE, asked.selector()));
        } else {
            goOn(tick, query, head.history());
        }
    }

    private static boolean isRevision(String which) {
        return which.chars().allMatch(Character::isDigit);
    }

    private static void settle(Tick tick, HistoryQueryRow query, Optional<VersionedRecord> found) {
        if (found.isEmpty()) {
            answer(tick, query);
        } else if (found.get().value() instanceof NoteRecord note) {
            goOn(tick, query, note.history());
        } else if (found.get().value() instanceof HistoryRecord history) {
            goOn(tick, query.withMatches(history.notes()), history.previous());
        }
    }

    /** Reads the next older record, unless enough was found or none is left. */
    private static void goOn(Tick tick, HistoryQueryRow query, String older) {
        if (query.isComplete() || older.isEmpty()) {
            answer(tick, query);
        } else {
            read(tick, query, new RecordKey(RecordKind.HISTORY, older));
        }
    }

    private static void read(Tick tick, HistoryQueryRow query, RecordKey key) {
        long callId = tick.nextCallId();
        tick.world().historyQueries().put(query.callId(), query.waitingFor(callId));
        tick.emit(new ReadRecord(callId, key));
    }

    private static void answer(Tick tick, HistoryQueryRow query) {
        boolean missing = !query.selector().isEmpty() && query.found().isEmpty();
        String detail =
                missing ? "no accepted note has the revision or id " + query.selector() : "";
        end(tick, query, detail);
    }

    private static void giveUp(Tick tick, HistoryQueryRow query) {
        end(tick, query, "the platform's store gave no answer; older notes are not shown");
    }

    private static void end(Tick tick, HistoryQueryRow query, String detail) {
        tick.world().historyQueries().remove(query.callId());
        tick.emit(new ReplyToHistory(query.callId(), query.found(), detail));
    }

    private static Optional<HistoryQueryRow> find(Tick tick, long storeCallId) {
        return tick.world().historyQueries().rows().stream()
                .filter(q -> q.storeCallId() == storeCallId)
                .findFirst();
    }
}
