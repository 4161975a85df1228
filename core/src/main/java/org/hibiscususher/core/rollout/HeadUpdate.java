package org.hibiscususher.core.rollout;

import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.RecordKind;
import org.hibiscususher.core.message.StoreRecord;
import org.hibiscususher.core.message.StoreRecord.HeadRecord;
import org.hibiscususher.core.message.StoreRecord.HistoryRecord;
import org.hibiscususher.core.message.StoreRecord.NoteRecord;
import org.hibiscususher.core.message.StoreRecord.SnapshotRecord;
import org.hibiscususher.core.note.AcceptedNote;

/**
 * The head that follows another, and the records that have to be written before it.
 *
 * @param head the head
 * @param writes records that the head names; each name tells its content
 */
record HeadUpdate(HeadRecord head, List<Write> writes) {
    /** Most bytes of notes in a head, about. */
    static final int HEAD_BYTES = 16 * 1024;

    /** Most notes in a head. */
    static final int HEAD_NOTES = 32;

    /** A record to write once. */
    record Write(RecordKey key, StoreRecord value) {}

    /** Copies the list. */
    HeadUpdate {
        writes = List.copyOf(writes);
    }

    /**
     * Plans the head with one more note.
     *
     * @param head the head now
     * @param note the note
     * @param result the configuration with the note applied
     */
    static HeadUpdate of(HeadRecord head, AcceptedNote note, Configuration result) {
        int bytes = head.notes().stream().mapToInt(AcceptedNote::estimatedBytes).sum();
        boolean fits =
                bytes + note.estimatedBytes() <= HEAD_BYTES && head.notes().size() < HEAD_NOTES;
        return fits ? appended(head, note) : folded(head, note, result);
    }

    private static HeadUpdate appended(HeadRecord head, AcceptedNote note) {
        List<AcceptedNote> notes = new ArrayList<>(head.notes());
        notes.add(note);
        HeadRecord next =
                new HeadRecord(
                        note.revision(),
                        head.snapshotRevision(),
                        head.snapshot(),
                        head.history(),
                        notes);
        return new HeadUpdate(next, List.of());
    }

    /** Moves the head's notes to the history and starts a new head from a snapshot. */
    private static HeadUpdate folded(HeadRecord head, AcceptedNote note, Configuration result) {
        List<Write> writes = new ArrayList<>();
        String history = head.history();
        if (!head.notes().isEmpty()) {
            history = Long.toString(head.revision());
            HistoryRecord older = new HistoryRecord(head.history(), head.notes());
            writes.add(new Write(new RecordKey(RecordKind.HISTORY, history), older));
        }
        for (AcceptedNote older : head.notes()) {
            NoteRecord place = new NoteRecord(older.revision(), older.digest(), history);
            writes.add(new Write(new RecordKey(RecordKind.NOTE, older.id()), place));
        }
        String snapshot = note.revision() + "-" + note.digest();
        writes.add(
                new Write(
                        new RecordKey(RecordKind.SNAPSHOT, snapshot), new SnapshotRecord(result)));
        AcceptedNote kept = note.estimatedBytes() <= HEAD_BYTES ? note : note.withoutDelta();
        HeadRecord next =
                new HeadRecord(note.revision(), note.revision(), snapshot, history, List.of(kept));
        return new HeadUpdate(next, writes);
    }
}
