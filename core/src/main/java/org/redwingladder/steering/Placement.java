package org.redwingladder.steering;

/** Tells where a request goes. */
public sealed interface Placement {

    /**
     * Sends the request to a backend server.
     *
     * @param server the server
     * @param waitMillis the expected time in the server's queue
     * @param serviceMillis the expected time of the work
     * @param warm whether the server is expected to know the request's object
     */
    record Send(Backend server, double waitMillis, double serviceMillis, boolean warm)
            implements Placement {}

    /**
     * Refuses the request, which has not run.
     *
     * @param reason why there is no place
     * @param retryAfterMillis when there is likely to be room
     * @param waitMillis the expected wait at the best server, 0 if there is none
     * @param allowedMillis the wait that would have been accepted
     * @param servers the servers that were weighed
     */
    record Refuse(
            Reason reason,
            long retryAfterMillis,
            double waitMillis,
            double allowedMillis,
            int servers)
            implements Placement {}

    /** Names why a request has no place. */
    enum Reason {
        /** No backend server of the service is usable. */
        NO_SERVER,
        /** The queues are so long that the answer would come too late. */
        OVERLOADED
    }
}
