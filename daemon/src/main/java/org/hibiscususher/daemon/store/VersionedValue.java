package org.hibiscususher.daemon.store;

import static java.util.Objects.requireNonNull;

/**
 * A value of the platform's store.
 *
 * @param version grows with each write, 1 or more
 * @param value bytes; callers must not change them
 */
public record VersionedValue(long version, byte[] value) {
    /** Checks the fields. */
    public VersionedValue {
        requireNonNull(value);
    }
}
