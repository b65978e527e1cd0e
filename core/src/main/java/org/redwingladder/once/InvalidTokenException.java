package org.redwingladder.once;

/** Thrown if a token is malformed or is not signed with the key of the deployment. */
public final class InvalidTokenException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with the given message. */
    public InvalidTokenException(String message) {
        super(message);
    }
}
