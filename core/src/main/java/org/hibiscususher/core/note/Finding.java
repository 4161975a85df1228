package org.hibiscususher.core.note;

import static java.util.Objects.requireNonNull;

/**
 * Something wrong in a file, with its place.
 *
 * @param place where it is
 * @param message what is wrong and what was expected
 */
public record Finding(Place place, String message) {
    /** Checks the fields. */
    public Finding {
        requireNonNull(place);
        requireNonNull(message);
    }

    @Override
    public String toString() {
        return place + ": " + message;
    }
}
