package org.hibiscususher.core.world;

/** The steps of a release note from its arrival to being in force. */
public enum PendingNoteState {
    /** Reads the newest head. */
    READING,
    /** Looks up whether the note is in the history, for one that was submitted before. */
    LOOKING_UP,
    /** Waits until the head's configuration is in force here, to check the note against it. */
    CATCHING_UP,
    /** Writes the records to which a compacted head will refer. */
    FOLDING,
    /** Writes the new head. */
    WRITING,
    /** Written; waits until the members confirm that it is in force. */
    ROLLING_OUT
}
