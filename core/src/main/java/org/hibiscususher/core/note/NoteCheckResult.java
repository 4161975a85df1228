package org.hibiscususher.core.note;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.config.ConfigurationDelta;

/**
 * A release note after its check.
 *
 * @param findings all that was found, in order of place
 * @param configuration the configuration with the note applied; of use only without errors
 * @param delta what leads to the result
 */
public record NoteCheckResult(
        List<Finding> findings, Configuration configuration, ConfigurationDelta delta) {
    /** Copies the findings. */
    public NoteCheckResult {
        findings = List.copyOf(findings);
        requireNonNull(configuration);
        requireNonNull(delta);
    }

    /** Returns whether the note may be accepted: there are warnings at most. */
    public boolean acceptable() {
        return findings.stream().noneMatch(f -> f.severity() == Severity.ERROR);
    }
}
