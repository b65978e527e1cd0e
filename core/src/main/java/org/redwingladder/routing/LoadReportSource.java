package org.redwingladder.routing;

/**
 * Names where a {@link LoadReport} came from. A sign of leaving is taken back by its own source.
 */
public enum LoadReportSource {
    /** The backend server's load endpoint. */
    LOAD_ENDPOINT,
    /** The headers of an answer. */
    RESPONSE_HEADER
}
