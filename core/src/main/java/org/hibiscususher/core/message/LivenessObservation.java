package org.hibiscususher.core.message;

/**
 * What an entry concludes about another entry's process, as the cause of a change of its {@link
 * MemberState}.
 */
public enum LivenessObservation {
    /** No change is due. */
    NONE,
    /** The member was heard a short time ago. */
    HEARD,
    /**
     * The member was not heard for the silence limit. This proves nothing: it may be paused or cut
     * off and still run work.
     */
    SILENT,
    /** The process is proven to have ended. */
    ENDED
}
