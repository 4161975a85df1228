package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.note.AcceptedNote;

/**
 * An operator's question about accepted notes.
 *
 * @param callId the operator's call
 * @param selector the revision or the id of one note; empty for the newest ones
 * @param limit most notes to give
 * @param found the notes found so far, newest first
 * @param storeCallId the read that it waits for
 * @param sinceMs when it came, in milliseconds of the caller's clock
 */
public record HistoryQueryRow(
        long callId,
        String selector,
        int limit,
        List<AcceptedNote> found,
        long storeCallId,
        long sinceMs) {
    /** Copies the list. */
    public HistoryQueryRow {
        requireNonNull(selector);
        found = List.copyOf(found);
    }

    /** Returns a copy with those of the given notes that are asked for; newest first. */
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

    /** Returns whether nothing more is to be found. */
    public boolean isComplete() {
        return found.size() >= (selector.isEmpty() ? limit : 1);
    }

    private boolean matches(AcceptedNote note) {
        return selector.isEmpty()
                || note.id().equals(selector)
                || Long.toString(note.revision()).equals(selector);
    }
}
