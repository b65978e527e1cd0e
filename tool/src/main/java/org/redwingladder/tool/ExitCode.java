package org.redwingladder.tool;

/** Names the exit codes of the tool. */
enum ExitCode {
    OK(0),
    FAILURE(1),
    USAGE(2),
    CONFLICT(3),
    /** The work, or the change, may have been carried out. */
    UNKNOWN(4),
    /** The work was refused and has certainly not run. */
    REFUSED(5);

    private final int mCode;

    ExitCode(int code) {
        mCode = code;
    }

    int code() {
        return mCode;
    }
}
