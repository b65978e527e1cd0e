package org.redwingladder.routing;

/**
 * The source of a {@link LoadReport}. A draining state is only cleared by the source that set it.
 */
public enum LoadReportSource {
    /** The load endpoint of the backend server. */
    LOAD_ENDPOINT,
    /** The headers of a response. */
    RESPONSE_HEADER
}
