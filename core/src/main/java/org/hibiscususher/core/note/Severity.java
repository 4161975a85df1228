package org.hibiscususher.core.note;

/** Whether a finding leads to the rejection of the file. */
public enum Severity {
    /** The file is rejected. */
    ERROR(""),
    /** The file is accepted, but its effect is probably not what the author intended. */
    WARNING("warning: ");

    private final String mPrefix;

    Severity(String prefix) {
        mPrefix = prefix;
    }

    /** Returns the text printed before the message of a finding; empty for errors. */
    public String prefix() {
        return mPrefix;
    }
}
