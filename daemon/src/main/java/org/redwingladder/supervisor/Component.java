package org.redwingladder.supervisor;

/** A component of the process that the supervisor starts, stops and restarts. */
public interface Component {

    /** Returns the name that appears in logs and in the status. */
    String name();

    /**
     * Starts the component.
     *
     * @param failures receives failures that occur after a successful start
     * @throws Exception if the component cannot start
     */
    void start(FailureListener failures) throws Exception;

    /** Stops the component. Called before each restart and on shutdown; must not throw. */
    void stop();

    /** Receives the failure of a running component; may be called from any thread. */
    interface FailureListener {
        /** Reports that the component no longer works and has to be restarted. */
        void failed(Throwable cause);
    }
}
