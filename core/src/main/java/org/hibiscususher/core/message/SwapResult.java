package org.hibiscususher.core.message;

/** The result of a compare-and-swap. */
public enum SwapResult {
    /** The record was written. */
    SWAPPED,
    /** The record had another version; nothing was written. */
    CONFLICT,
    /** No response came: the record may have been written. */
    UNKNOWN
}
