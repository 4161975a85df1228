package org.hibiscususher.core.note;

/** How much a finding matters. */
public enum Severity {
    /** The file can't be taken as it stands. */
    ERROR(""),
    /** The file may be taken, but may not mean what its author wants. */
    WARNING("warning: ");

    private final String mPrefix;

    Severity(String prefix) {
        mPrefix = prefix;
    }

    /** Returns what stands before the message of a finding. */
    public String prefix() {
        return mPrefix;
    }
}
