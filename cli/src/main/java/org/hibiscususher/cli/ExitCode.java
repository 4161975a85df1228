package org.hibiscususher.cli;

/** Exit codes of the tool. */
enum ExitCode {
    /** Done. */
    OK(0),
    /** The daemon can't be reached, or the call failed. */
    FAILED(1),
    /** The command line is wrong. */
    USAGE(2),
    /** The note has findings. */
    FINDINGS(3),
    /** Another note came first. */
    CONFLICT(4),
    /** Written, but not yet confirmed in force everywhere. */
    NOT_CONFIRMED(5);

    private final int mCode;

    ExitCode(int code) {
        mCode = code;
    }

    int code() {
        return mCode;
    }
}
