package org.hibiscususher.core.world;

/** The states of a release note on its way into force. */
public enum PendingNoteState {
    /** The newest head is being read. */
    READING,
    /** The store is being asked whether the note was accepted long ago. */
    LOOKING_UP,
    /** Waits until the head's configuration is in force here, to be checked against it. */
    CATCHING_UP,
    /** The records that the new head will name are being written. */
    FOLDING,
    /** The new head is being written. */
    WRITING,
    /** Written; members are confirming it. */
    ROLLING_OUT
}
