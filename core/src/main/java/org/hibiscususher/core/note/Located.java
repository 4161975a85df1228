package org.hibiscususher.core.note;

import static java.util.Objects.requireNonNull;

/**
 * A value read from a text file, with its location for findings.
 *
 * @param value the value
 * @param location where the file gives the value
 * @param <T> type of the value
 */
public record Located<T>(T value, SourceLocation location) {
    /** Checks that the fields are present. */
    public Located {
        requireNonNull(value);
        requireNonNull(location);
    }
}
