package org.redwingladder.http;

/**
 * Thrown if a response violated the protocol and was discarded: the request may have been executed.
 */
public final class InvalidResponseException extends CallException {

    InvalidResponseException(String message) {
        super(message);
    }

    @Override
    public boolean neverSent() {
        return false;
    }
}
