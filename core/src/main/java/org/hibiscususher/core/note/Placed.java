package org.hibiscususher.core.note;

import static java.util.Objects.requireNonNull;

/**
 * A declaration and the place where it stands.
 *
 * @param value the declaration
 * @param place where it stands
 * @param <T> type of the declaration
 */
public record Placed<T>(T value, Place place) {
    /** Checks the fields. */
    public Placed {
        requireNonNull(value);
        requireNonNull(place);
    }
}
