package org.hibiscususher.core.message;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.note.AcceptedNote;

/** A value that the system keeps in the platform's store. */
public sealed interface StoreRecord {
    /**
     * The newest revision: a snapshot and the notes that follow it.
     *
     * <p>Records that it names are written before it and never changed.
     *
     * @param revision number of accepted notes
     * @param snapshotRevision revision of the snapshot, 0 if there is none
     * @param snapshot name of the snapshot's record, empty if there is none
     * @param history name of the newest record of older notes, empty if there is none
     * @param notes the newest notes, in order; all that follow those of the history
     */
    record HeadRecord(
            long revision,
            long snapshotRevision,
            String snapshot,
            String history,
            List<AcceptedNote> notes)
            implements StoreRecord {
        /** The head before the first note. */
        public static final HeadRecord EMPTY = new HeadRecord(0, 0, "", "", List.of());

        /** Copies the list. */
        public HeadRecord {
            requireNonNull(snapshot);
            requireNonNull(history);
            notes = List.copyOf(notes);
        }

        /** Returns the note with the given id if the head lists it. */
        public Optional<AcceptedNote> find(String noteId) {
            return notes.stream().filter(n -> n.id().equals(noteId)).findFirst();
        }
    }

    /**
     * A whole configuration.
     *
     * @param configuration the configuration
     */
    record SnapshotRecord(Configuration configuration) implements StoreRecord {
        /** Checks the field. */
        public SnapshotRecord {
            requireNonNull(configuration);
        }
    }

    /**
     * Notes that the head lists no more.
     *
     * @param previous name of the record before it, empty if there is none
     * @param notes the notes, in order
     */
    record HistoryRecord(String previous, List<AcceptedNote> notes) implements StoreRecord {
        /** Copies the list. */
        public HistoryRecord {
            requireNonNull(previous);
            notes = List.copyOf(notes);
        }
    }

    /**
     * Where an older note stands.
     *
     * @param revision the revision that it became
     * @param digest digest of what it asked for
     * @param history name of the record that holds it
     */
    record NoteRecord(long revision, String digest, String history) implements StoreRecord {
        /** Checks the fields. */
        public NoteRecord {
            requireNonNull(digest);
            requireNonNull(history);
        }
    }

    /**
     * The members and their epoch.
     *
     * <p>An id may stand more than once, with different incarnations; all but one are then dead.
     *
     * @param epoch number of the record, from 1; each change adds 1
     * @param members the members by id
     */
    record MembershipRecord(long epoch, List<Member> members) implements StoreRecord {
        /** No members. */
        public static final MembershipRecord EMPTY = new MembershipRecord(0, List.of());

        /** Copies the list. */
        public MembershipRecord {
            members = List.copyOf(members);
        }
    }
}
