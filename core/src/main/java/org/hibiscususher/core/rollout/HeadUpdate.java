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
 * The next head of the configuration's history, and the records that have to be written before it.
 *
 * <p>Every entry polls the head to stay fresh, so the head is kept small: once its notes exceed a
 * limit, they are compacted into a snapshot and a history record. The name of each record
 * determines its content. So the records of an update whose writer stopped before the head was
 * written stay unreferenced, and a second writer of the same record changes nothing.
 *
 * @param head the head to write
 * @param writes records that the head refers to, to be written before it
 */
record HeadUpdate(HeadRecord head, List<Write> writes) {
    /** Limit on the estimated size of the notes in a head, in bytes. */
    static final int MAX_NOTE_BYTES = 16 * 1024;

    /** Limit on the number of notes in a head. */
    static final int MAX_NOTES = 32;

    /**
     * A record to create unless it exists.
     *
     * @param key where to write the record
     * @param value the record
     */
    record Write(RecordKey key, StoreRecord value) {}

    /** Copies the list. */
    HeadUpdate {
        writes = List.copyOf(writes);
    }

    /**
     * Returns the update that adds a note to the history.
     *
     * @param head the newest head
     * @param note the note to add
     * @param result the configuration with the note applied
     */
    static HeadUpdate of(HeadRecord head, AcceptedNote note, Configuration result) {
        int bytes = head.notes().stream().mapToInt(AcceptedNote::estimatedBytes).sum();
        boolean fits =
                bytes + note.estimatedBytes() <= MAX_NOTE_BYTES && head.notes().size() < MAX_NOTES;
        return fits ? appended(head, note) : compacted(head, note, result);
    }

    /** Adds the note to those in the head; no other record is needed. */
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

    /**
     * Moves the head's notes to a history record and starts a new head from a snapshot that
     * includes the note.
     *
     * <p>Each moved note also gets a record under its own id, by which a note that is submitted
     * again is recognised.
     */
    private static HeadUpdate compacted(HeadRecord head, AcceptedNote note, Configuration result) {
        List<Write> writes = new ArrayList<>();
        String history = head.history();
        if (!head.notes().isEmpty()) {
            history = Long.toString(head.revision());
            HistoryRecord older = new HistoryRecord(head.history(), head.notes());
            writes.add(new Write(new RecordKey(RecordKind.HISTORY, history), older));
        }
        for (AcceptedNote older : head.notes()) {
            NoteRecord moved = new NoteRecord(older.revision(), older.digest(), history);
            writes.add(new Write(new RecordKey(RecordKind.NOTE, older.id()), moved));
        }
        String snapshot = note.revision() + "-" + note.digest();
        writes.add(
                new Write(
                        new RecordKey(RecordKind.SNAPSHOT, snapshot), new SnapshotRecord(result)));
        AcceptedNote kept = note.estimatedBytes() <= MAX_NOTE_BYTES ? note : note.withoutDelta();
        HeadRecord next =
                new HeadRecord(note.revision(), note.revision(), snapshot, history, List.of(kept));
        return new HeadUpdate(next, writes);
    }
}
