package org.hibiscususher.core.note;

import static java.util.Objects.requireNonNull;

/**
 * A declaration and the location where it stands.
 *
 * @param value the declaration
 * @param location where it stands
 * @param <T> type of the declaration
 */
public record Located<T>(T value, SourceLocation location) {
    /** Checks the fields. */
    public Located {
        requireNonNull(value);
        requireNonNull(location);
    }
}
