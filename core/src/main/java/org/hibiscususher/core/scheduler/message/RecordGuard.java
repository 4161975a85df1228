package org.hibiscususher.core.scheduler.message;

import static java.util.Objects.requireNonNull;

/**
 * A condition of a commit: a record is at a revision.
 *
 * @param name the record
 * @param revision its revision; 0 if it must not exist
 */
public record RecordGuard(RecordName name, long revision) {
    /** Checks the parts. */
    public RecordGuard {
        requireNonNull(name);
    }
}
