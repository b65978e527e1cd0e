package org.redwingladder.standin;

/** Ends the demo because a part of it does not work. */
final class DemoException extends Exception {
    private static final long serialVersionUID = 1L;

    DemoException(String message) {
        super(message);
    }
}
