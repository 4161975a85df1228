package org.hibiscususher.wire.yaml;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.hibiscususher.core.note.Finding;
import org.hibiscususher.core.note.ReleaseNote;

/**
 * The result of reading a release note from YAML.
 *
 * @param note the note. If there are findings, it holds placeholders for missing or invalid values
 *     and must not be used.
 * @param findings all errors in the text, in order of line and column; empty if the text is valid
 */
public record ParsedNote(ReleaseNote note, List<Finding> findings) {
    /** Rejects null components and copies the list. */
    public ParsedNote {
        requireNonNull(note);
        findings = List.copyOf(findings);
    }
}
