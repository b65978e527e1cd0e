package org.redwingladder.steering;

/** The decision of the {@link LoadBalancer} for one request. */
public sealed interface BalancerDecision {

    /**
     * Sends the request to a backend server.
     *
     * @param server the selected server
     * @param waitMillis the expected time in the server's queue
     * @param serviceMillis the expected service time, including the delay between regions
     * @param warm whether the server is expected to have the request's object in its cache
     */
    record Send(Backend server, double waitMillis, double serviceMillis, boolean warm)
            implements BalancerDecision {}

    /**
     * Refuses the request, which has not run.
     *
     * @param reason why the request is refused
     * @param retryAfterMillis the delay after which capacity is likely to be available
     * @param waitMillis the expected queueing time at the best server, 0 if there is none
     * @param allowedMillis the longest queueing time that would have been accepted
     * @param servers the number of candidate servers
     * @param limitedServers the number of servers that were left out because of their rate limits
     */
    record Refuse(
            Reason reason,
            long retryAfterMillis,
            double waitMillis,
            double allowedMillis,
            int servers,
            int limitedServers)
            implements BalancerDecision {}

    /** The reason for which a request is refused. */
    enum Reason {
        /** No usable backend server of the service exists. */
        NO_SERVER,
        /** The servers' queues are so long that the answer would arrive too late. */
        OVERLOADED,
        /** All usable servers have named rate limits and no permit is left. */
        LIMITED
    }
}
