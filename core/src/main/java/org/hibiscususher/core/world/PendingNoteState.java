package org.hibiscususher.core.world;

/** The states of a release note on its way into force. */
public enum PendingNoteState {
    /** The newest head is being read. */
    READING,
    /** The new head is being written. */
    WRITING,
    /** The answer to the write was lost; the head is being read to settle it. */
    SETTLING,
    /** Written; members are confirming it. */
    ROLLING_OUT
}
