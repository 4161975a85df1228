package org.hibiscususher.core.note;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.hibiscususher.core.config.Configuration;

/**
 * A release note after its check.
 *
 * @param findings all that is wrong; empty if the note may be accepted
 * @param result the configuration with the note applied; of use only without findings
 */
public record CheckedNote(List<Finding> findings, Configuration result) {
    /** Copies the findings. */
    public CheckedNote {
        findings = List.copyOf(findings);
        requireNonNull(result);
    }
}
