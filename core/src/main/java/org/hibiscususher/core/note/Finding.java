package org.hibiscususher.core.note;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;

/**
 * Something wrong in a file, with its place.
 *
 * @param place where it is
 * @param severity how much it matters
 * @param message what is wrong and what was expected
 */
public record Finding(Place place, Severity severity, String message) {
    /** Orders findings in one file by line and column. */
    public static final Comparator<Finding> BY_PLACE =
            Comparator.comparingInt((Finding f) -> f.place().line())
                    .thenComparingInt(f -> f.place().column());

    /** Checks the fields. */
    public Finding {
        requireNonNull(place);
        requireNonNull(severity);
        requireNonNull(message);
    }

    /** Creates an error. */
    public Finding(Place place, String message) {
        this(place, Severity.ERROR, message);
    }

    @Override
    public String toString() {
        return place + ": " + severity.prefix() + message;
    }
}
