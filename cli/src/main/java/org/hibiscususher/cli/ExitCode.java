package org.hibiscususher.cli;

/** Exit codes of the tool; the help text lists them under the names of the constants. */
enum ExitCode {
    /** The command was carried out. */
    OK(0),
    /** The daemon can't be reached, or it did not carry out the command. */
    FAILED(1),
    /** The command line is invalid. */
    USAGE(2),
    /** The release note has errors; nothing was changed. */
    FINDINGS(3),
    /** The release note conflicts with another one that was accepted before. */
    CONFLICT(4),
    /** The release note is written, but not confirmed to be in force on all entries. */
    NOT_CONFIRMED(5);

    private final int mCode;

    ExitCode(int code) {
        mCode = code;
    }

    int code() {
        return mCode;
    }
}
