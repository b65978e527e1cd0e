package org.redwingladder.http;

/** Reports an answer that breaks the protocol and was discarded: the work may have run. */
public final class InvalidResponseException extends CallException {

    InvalidResponseException(String message) {
        super(message);
    }

    @Override
    public boolean neverSent() {
        return false;
    }
}
