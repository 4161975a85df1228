package org.hibiscususher.core.message;

import static java.util.Objects.requireNonNull;

/**
 * Identifies a record of the platform's store.
 *
 * @param kind the kind of the record
 * @param name name within the kind; empty if the kind has a single record
 */
public record RecordKey(RecordKind kind, String name) {
    /** The head of the configuration. */
    public static final RecordKey HEAD = new RecordKey(RecordKind.HEAD, "");

    /** The members and their epoch. */
    public static final RecordKey MEMBERSHIP = new RecordKey(RecordKind.MEMBERSHIP, "");

    /** The newest maintenance wave. */
    public static final RecordKey WAVE = new RecordKey(RecordKind.WAVE, "");

    /** Rejects null components. */
    public RecordKey {
        requireNonNull(kind);
        requireNonNull(name);
    }

    /** Returns the key of the record of the pool that a host serves. */
    public static RecordKey host(String host) {
        return new RecordKey(RecordKind.HOST, host);
    }

    /** Returns the key of the record of a pool's outages. */
    public static RecordKey outages(String pool) {
        return new RecordKey(RecordKind.OUTAGES, pool);
    }
}
