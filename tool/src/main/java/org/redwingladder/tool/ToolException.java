package org.redwingladder.tool;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

/** Ends a command with an exit code and one message for the user. */
final class ToolException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ExitCode mExitCode;
    private final transient @Nullable JsonNode mDetails;

    ToolException(ExitCode exitCode, String message) {
        this(exitCode, message, null);
    }

    ToolException(ExitCode exitCode, String message, @Nullable JsonNode details) {
        super(message);
        mExitCode = exitCode;
        mDetails = details;
    }

    ExitCode exitCode() {
        return mExitCode;
    }

    /** Returns the answer that tells more, if there is one. */
    @Nullable JsonNode details() {
        return mDetails;
    }
}
