package org.hibiscususher.core.message;

/** What is known after a compare-and-swap. */
public enum SwapResult {
    /** The record was written. */
    SWAPPED,
    /** The version was another; nothing was written. */
    CONFLICT,
    /** No answer came: the record may have been written. */
    UNKNOWN
}
