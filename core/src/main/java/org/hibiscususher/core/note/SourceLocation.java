package org.hibiscususher.core.note;

import static java.util.Objects.requireNonNull;

/**
 * A position in a text file.
 *
 * @param file name of the file, or of the source if the text was not read from a file
 * @param line line number, from 1
 * @param column column number, from 1
 */
public record SourceLocation(String file, int line, int column) {
    /** Checks that the file is named and that line and column are 1 or more. */
    public SourceLocation {
        requireNonNull(file);
        if (line < 1 || column < 1) {
            throw new IllegalArgumentException(
                    "line and column must be 1 or more: " + line + ":" + column);
        }
    }

    @Override
    public String toString() {
        return file + ":" + line + ":" + column;
    }
}
