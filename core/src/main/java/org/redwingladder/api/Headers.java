package org.redwingladder.api;

/** The names of the HTTP headers. Times in headers are epoch milliseconds. */
public final class Headers {
    /** The request id, which correlates a response with its request on every hop. */
    public static final String REQUEST_ID = "Redwing-Request-Id";

    /** The deadline of the request: when the client stops waiting. */
    public static final String DEADLINE = "Redwing-Deadline";

    /** The latest time at which a backend server may start the work. */
    public static final String START_BY = "Redwing-Start-By";

    /** The client block of the caller. */
    public static final String BLOCK = "Redwing-Block";

    /** The single-use token of a request that must not run more than once. */
    public static final String TOKEN = "Redwing-Token";

    /** The client's idempotency key of a request that must not run more than once. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** The number of times the request was forwarded between entry hosts. */
    public static final String HOP = "Redwing-Hop";

    /** The availability zone of the entry host that forwards the request. */
    public static final String FROM_ZONE = "Redwing-From-Zone";

    /** The backend server that responded. */
    public static final String BACKEND = "Redwing-Backend";

    /** The load of a backend server as {@code inFlight/slots}. */
    public static final String LOAD = "Redwing-Load";

    /** The state of a backend server: starting, serving or draining. */
    public static final String STATE = "Redwing-State";

    /** Marks a refusal of work that certainly did not run. */
    public static final String NOT_RUN = "Redwing-Not-Run";

    /** The expected wait of a request of the same class at a site now, in microseconds. */
    public static final String WAIT = "Redwing-Wait";

    /** The longest expected wait at a site with which to queue the request, in microseconds. */
    public static final String MAX_WAIT = "Redwing-Patience";

    /** The id of a settings change that an operator submits. */
    public static final String CHANGE_ID = "Redwing-Change-Id";

    /** The team of an operator. */
    public static final String TEAM = "Redwing-Team";

    /** The secret key of an operator's team. */
    public static final String TEAM_KEY = "Redwing-Team-Key";

    private Headers() {}
}
