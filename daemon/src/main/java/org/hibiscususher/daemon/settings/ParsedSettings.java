package org.hibiscususher.daemon.settings;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.hibiscususher.core.note.Finding;

/**
 * Result of reading a settings file.
 *
 * @param settings settings as far as they could be read; valid only if there are no findings
 * @param findings errors in the text, with their positions
 */
public record ParsedSettings(DaemonSettings settings, List<Finding> findings) {
    /** Rejects null settings and copies the findings. */
    public ParsedSettings {
        requireNonNull(settings);
        findings = List.copyOf(findings);
    }
}
