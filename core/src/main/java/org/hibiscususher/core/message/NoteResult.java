package org.hibiscususher.core.message;

/** The result of a submitted release note. */
public enum NoteResult {
    /** The note is in force on every member that accepts work. */
    ACCEPTED,
    /** The note is written, but not every member has confirmed it yet. */
    WRITTEN,
    /** The note has errors; nothing was changed. */
    FAULTY,
    /**
     * The note builds on another revision than the newest, or its id is taken; nothing was changed.
     */
    CONFLICT,
    /**
     * The platform's store is unreachable or did not respond in time; nothing is known to have been
     * changed.
     */
    UNAVAILABLE
}
