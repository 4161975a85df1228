package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.note.AcceptedNote;

/**
 * An operator's query of accepted notes that is being answered from the head and the history.
 *
 * @param callId id of the operator's call
 * @param selector the revision or the id of one note; empty for the newest ones
 * @param limit largest number of notes to return
 * @param found the matching notes found so far, newest first
 * @param storeCallId id of the pending read of older notes, 0 before the first
 * @param sinceMs when the query arrived, in milliseconds of the tick clock
 */
public record HistoryQueryRow(
        long callId,
        String selector,
        int limit,
        List<AcceptedNote> found,
        long storeCallId,
        long sinceMs) {
    /** Makes a defensive copy of the list. */
    public HistoryQueryRow {
        requireNonNull(selector);
        found = List.copyOf(found);
    }

    /** Returns a copy with the matches among older notes appended. */
    public HistoryQueryRow withMatches(List<AcceptedNote> notes) {
        List<AcceptedNote> all = new ArrayList<>(found);
        for (int i = notes.size() - 1; i >= 0 && all.size() < limit; i--) {
            if (matches(notes.get(i))) {
                all.add(notes.get(i));
            }
        }
        return new HistoryQueryRow(callId, selector, limit, all, storeCallId, sinceMs);
    }

    /** Returns a copy that waits for a read. */
    public HistoryQueryRow waitingFor(long storeCall) {
        return new HistoryQueryRow(callId, selector, limit, found, storeCall, sinceMs);
    }

    /** Returns whether the note or as many notes as wanted were found. */
    public boolean isComplete() {
        return found.size() >= (selector.isEmpty() ? limit : 1);
    }

    private boolean matches(AcceptedNote note) {
        return selector.isEmpty()
                || note.id().equals(selector)
                || Long.toString(note.revision()).equals(selector);
    }
}
