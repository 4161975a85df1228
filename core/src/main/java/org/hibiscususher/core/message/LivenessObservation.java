package org.hibiscususher.core.message;

/** What an entry has seen of another entry's process. */
public enum LivenessObservation {
    /** Nothing that calls for a change. */
    NONE,
    /** It was heard a short time ago. */
    HEARD,
    /** It was not heard for long, which proves nothing. */
    SILENT,
    /** Its end is proven. */
    ENDED
}
