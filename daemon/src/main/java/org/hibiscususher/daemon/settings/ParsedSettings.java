package org.hibiscususher.daemon.settings;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.hibiscususher.core.note.Finding;

/**
 * Settings as read from YAML.
 *
 * @param settings the settings; of use only without findings
 * @param findings all that is wrong with the text
 */
public record ParsedSettings(DaemonSettings settings, List<Finding> findings) {
    /** Copies the findings. */
    public ParsedSettings {
        requireNonNull(settings);
        findings = List.copyOf(findings);
    }
}
