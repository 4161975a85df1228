package org.hibiscususher.wire.yaml;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.hibiscususher.core.note.Finding;
import org.hibiscususher.core.note.ReleaseNote;

/**
 * A release note as read from YAML.
 *
 * @param note the note; of use only without findings
 * @param findings all that is wrong with the text
 */
public record ParsedNote(ReleaseNote note, List<Finding> findings) {
    /** Copies the findings. */
    public ParsedNote {
        requireNonNull(note);
        findings = List.copyOf(findings);
    }
}
