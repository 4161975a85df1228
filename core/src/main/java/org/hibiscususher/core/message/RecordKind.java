package org.hibiscususher.core.message;

/** The kinds of records that the system keeps in the platform's store. */
public enum RecordKind {
    /** The head of the configuration's history. */
    HEAD("head"),
    /** The members and their epoch. */
    MEMBERSHIP("membership"),
    /** A whole configuration; written once. */
    SNAPSHOT("snapshot"),
    /** Notes that the head lists no more; written once. */
    HISTORY("history"),
    /** Where an older note stands, by the note's id; written once. */
    NOTE("note"),
    /** Which pool a host serves; one record per host. */
    HOST("fleet/host"),
    /** The hosts of a pool that are taken out of service; one record per pool. */
    OUTAGES("fleet/outages"),
    /** The newest maintenance wave. */
    WAVE("fleet/wave");

    /** Begins the paths of the records about hosts, and of no others. */
    public static final String FLEET_PREFIX = "fleet/";

    private final String mPath;

    RecordKind(String path) {
        mPath = path;
    }

    /** Returns the path of the kind's records within the system's part of the store. */
    public String path() {
        return mPath;
    }

    /** Returns whether {@link Output.ReadFleetRecords} covers the kind. */
    public boolean isFleet() {
        return mPath.startsWith(FLEET_PREFIX);
    }
}
