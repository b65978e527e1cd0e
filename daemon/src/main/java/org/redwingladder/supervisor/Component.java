package org.redwingladder.supervisor;

/** Describes one part of the process that can be started, stopped and started again. */
public interface Component {

    /** Returns the name used in logs and counters. */
    String name();

    /**
     * Starts the part.
     *
     * @param failures receives failures that end the part after it has started
     * @throws Exception if the part cannot start
     */
    void start(FailureListener failures) throws Exception;

    /** Stops the part. Called before each new start and at the end; must not fail. */
    void stop();

    /** Receives the failure of a running part; may be called from any thread. */
    interface FailureListener {
        /** Reports that the part no longer works. */
        void failed(Throwable cause);
    }
}
