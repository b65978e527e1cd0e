package org.redwingladder.once;

/** Reports a token that is malformed or was not signed with the deployment's key. */
public final class InvalidTokenException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message for people. */
    public InvalidTokenException(String message) {
        super(message);
    }
}
