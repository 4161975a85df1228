package org.hibiscususher.daemon.store;

import static java.util.Objects.requireNonNull;

/**
 * A value of the platform's store with its version.
 *
 * @param version revision of the store in which the value was last written, 1 or more
 * @param value content; not copied, and must not be modified
 */
public record VersionedValue(long version, byte[] value) {
    /** Rejects a null value. */
    public VersionedValue {
        requireNonNull(value);
    }
}
