package org.hibiscususher.core.note;

import static java.util.Objects.requireNonNull;

/**
 * A place in a text file.
 *
 * @param file name of the file, or of the source
 * @param line line number, from 1
 * @param column column number, from 1
 */
public record SourceLocation(String file, int line, int column) {
    /** Checks the fields. */
    public SourceLocation {
        requireNonNull(file);
        if (line < 1 || column < 1) {
            throw new IllegalArgumentException("lines and columns start at 1");
        }
    }

    @Override
    public String toString() {
        return file + ":" + line + ":" + column;
    }
}
