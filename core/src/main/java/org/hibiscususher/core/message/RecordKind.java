package org.hibiscususher.core.message;

/** The kinds of records that the system keeps in the platform's store. */
public enum RecordKind {
    /** The head of the configuration. */
    HEAD("head"),
    /** The members and their epoch. */
    MEMBERSHIP("membership"),
    /** A whole configuration; never changed once written. */
    SNAPSHOT("snapshot"),
    /** Notes that are no longer in the head; never changed once written. */
    HISTORY("history"),
    /**
     * Revision of a note that is no longer in the head, by the note's id; never changed once
     * written.
     */
    NOTE("note"),
    /** The pool that a host serves; one record per host. */
    HOST("fleet/host"),
    /** The hosts of a pool that are out of service; one record per pool. */
    OUTAGES("fleet/outages"),
    /** The newest maintenance wave. */
    WAVE("fleet/wave");

    /** Prefix of the paths of the records about hosts, and of no others. */
    public static final String FLEET_PREFIX = "fleet/";

    private final String mPath;

    RecordKind(String path) {
        mPath = path;
    }

    /** Returns the path of the kind's records below the system's prefix in the store. */
    public String path() {
        return mPath;
    }

    /** Returns whether {@link Output.ReadFleetRecords} covers records of this kind. */
    public boolean isFleet() {
        return mPath.startsWith(FLEET_PREFIX);
    }
}
