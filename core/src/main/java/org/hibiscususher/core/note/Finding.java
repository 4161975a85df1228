package org.hibiscususher.core.note;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;

/**
 * Something wrong in a file, with its location.
 *
 * @param location where it is
 * @param severity how much it matters
 * @param message what is wrong and what was expected
 */
public record Finding(SourceLocation location, Severity severity, String message) {
    /** Orders findings in one file by line and column. */
    public static final Comparator<Finding> BY_LOCATION =
            Comparator.comparingInt((Finding f) -> f.location().line())
                    .thenComparingInt(f -> f.location().column());

    /** Checks the fields. */
    public Finding {
        requireNonNull(location);
        requireNonNull(severity);
        requireNonNull(message);
    }

    /** Creates an error. */
    public Finding(SourceLocation location, String message) {
        this(location, Severity.ERROR, message);
    }

    @Override
    public String toString() {
        return location + ": " + severity.prefix() + message;
    }
}
