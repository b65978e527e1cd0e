package org.redwingladder.http;

/** Controls a call that was started. All methods may be called from any thread. */
public interface Call {

    /**
     * Gives the call up. If it is not complete, its connection is closed and the handler receives
     * an exception with the cause {@code CANCELLED}.
     */
    void cancel();

    /** Returns whether sending has begun, after which the work may run. */
    boolean sent();
}
