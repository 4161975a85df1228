package org.hibiscususher.core.note;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.config.ConfigurationDelta;

/**
 * Result of checking a release note against a configuration.
 *
 * @param findings all findings, ordered by location
 * @param configuration the configuration with the note applied; meaningful only if there are no
 *     errors
 * @param delta difference between the configuration before the note and {@code configuration}
 */
public record NoteCheckResult(
        List<Finding> findings, Configuration configuration, ConfigurationDelta delta) {
    /** Copies the findings and checks that the other fields are present. */
    public NoteCheckResult {
        findings = List.copyOf(findings);
        requireNonNull(configuration);
        requireNonNull(delta);
    }

    /** Returns whether the note may be committed, which warnings don't prevent. */
    public boolean acceptable() {
        return findings.stream().noneMatch(f -> f.severity() == Severity.ERROR);
    }
}
