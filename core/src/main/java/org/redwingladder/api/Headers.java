package org.redwingladder.api;

/** Names the HTTP headers of the system. Times in headers are epoch milliseconds. */
public final class Headers {
    /** Ties an answer to its request on every hop. */
    public static final String REQUEST_ID = "Redwing-Request-Id";

    /** States when the client stops waiting. */
    public static final String DEADLINE = "Redwing-Deadline";

    /** States until when a backend server may start the work. */
    public static final String START_BY = "Redwing-Start-By";

    /** Names the client block of the caller. */
    public static final String BLOCK = "Redwing-Block";

    /** Carries the token of work that must not repeat. */
    public static final String TOKEN = "Redwing-Token";

    /** Carries the client's own key of work that must not repeat. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Counts how often a request was forwarded between entry hosts. */
    public static final String HOP = "Redwing-Hop";

    /** Names the availability zone of the entry host that forwards a request. */
    public static final String FROM_ZONE = "Redwing-From-Zone";

    /** Names the backend server that answered. */
    public static final String BACKEND = "Redwing-Backend";

    /** Reports the load of a backend server as {@code inFlight/slots}. */
    public static final String LOAD = "Redwing-Load";

    /** Reports the state of a backend server: starting, serving or draining. */
    public static final String STATE = "Redwing-State";

    /** Marks a refusal of work that certainly did not run. */
    public static final String NOT_RUN = "Redwing-Not-Run";

    /** Tells how long a request of the same class would wait at a site now, in microseconds. */
    public static final String WAIT = "Redwing-Wait";

    /** Tells how long a request should wait at a site at most, in microseconds. */
    public static final String MAX_WAIT = "Redwing-Patience";

    /** Names the change that an operator puts. */
    public static final String CHANGE_ID = "Redwing-Change-Id";

    /** Names the team of an operator. */
    public static final String TEAM = "Redwing-Team";

    /** Carries the key of an operator's team. */
    public static final String TEAM_KEY = "Redwing-Team-Key";

    private Headers() {}
}
