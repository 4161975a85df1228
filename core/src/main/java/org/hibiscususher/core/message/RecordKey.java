package org.hibiscususher.core.message;

import static java.util.Objects.requireNonNull;

/**
 * Names a record of the platform's store.
 *
 * @param kind the kind
 * @param name name within the kind; empty where there is one record of the kind
 */
public record RecordKey(RecordKind kind, String name) {
    /** The head of the configuration's history. */
    public static final RecordKey HEAD = new RecordKey(RecordKind.HEAD, "");

    /** The members and their epoch. */
    public static final RecordKey MEMBERSHIP = new RecordKey(RecordKind.MEMBERSHIP, "");

    /** The newest maintenance wave. */
    public static final RecordKey WAVE = new RecordKey(RecordKind.WAVE, "");

    /** Checks the fields. */
    public RecordKey {
        requireNonNull(kind);
        requireNonNull(name);
    }

    /** Returns the key of the record that says which pool a host serves. */
    public static RecordKey host(String host) {
        return new RecordKey(RecordKind.HOST, host);
    }

    /** Returns the key of the record of a pool's hosts that are taken out of service. */
    public static RecordKey outages(String pool) {
        return new RecordKey(RecordKind.OUTAGES, pool);
    }
}
