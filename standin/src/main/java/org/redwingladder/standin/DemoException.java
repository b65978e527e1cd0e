package org.redwingladder.standin;

/** Aborts the demo because one of its processes failed or did not respond. */
final class DemoException extends Exception {
    private static final long serialVersionUID = 1L;

    DemoException(String message) {
        super(message);
    }
}
