package org.hibiscususher.core.scheduler.message;

import static java.util.Objects.requireNonNull;

/**
 * A precondition of a commit: the record must be at the revision.
 *
 * @param name record name
 * @param revision store revision; 0 if the record must not exist
 */
public record RecordGuard(RecordName name, long revision) {
    /** Rejects null components. */
    public RecordGuard {
        requireNonNull(name);
    }
}
