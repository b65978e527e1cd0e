package org.redwingladder.http;

/** A call in progress. All methods may be called from any thread. */
public interface Call {

    /**
     * Cancels the call. If it is not complete, its connection is closed and the handler receives an
     * exception with the cause {@code CANCELLED}.
     */
    void cancel();

    /** Returns whether sending has begun, after which the request may be executed. */
    boolean sent();
}
