package org.hibiscususher.core.note;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;

/**
 * A problem found in a text file that an operator wrote.
 *
 * @param location where the problem is
 * @param severity whether the file is rejected because of it
 * @param message the problem and what was expected instead
 */
public record Finding(SourceLocation location, Severity severity, String message) {
    /** Orders the findings of one file by line, then by column. */
    public static final Comparator<Finding> BY_LOCATION =
            Comparator.comparingInt((Finding f) -> f.location().line())
                    .thenComparingInt(f -> f.location().column());

    /** Checks that the fields are present. */
    public Finding {
        requireNonNull(location);
        requireNonNull(severity);
        requireNonNull(message);
    }

    /** Creates a finding of severity {@link Severity#ERROR}. */
    public Finding(SourceLocation location, String message) {
        this(location, Severity.ERROR, message);
    }

    @Override
    public String toString() {
        return location + ": " + severity.prefix() + message;
    }
}
