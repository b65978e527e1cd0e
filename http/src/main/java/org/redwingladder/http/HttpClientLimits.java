package org.redwingladder.http;

/**
 * Limits of the connections of an {@link AsyncHttpClient}.
 *
 * @param maxConnectionsPerAddress the maximum number of open connections to one address
 * @param idleMillis the idle timeout of a pooled connection
 */
public record HttpClientLimits(int maxConnectionsPerAddress, int idleMillis) {

    /** The size up to which a response body is buffered before its first byte is forwarded. */
    public static final int DEFAULT_MAX_BUFFERED_BYTES = 64 * 1024;

    public HttpClientLimits {
        if (maxConnectionsPerAddress < 1 || idleMillis < 1) {
            throw new IllegalArgumentException("limits must be positive");
        }
    }

    /** Returns the default limits. */
    public static HttpClientLimits defaults() {
        return new HttpClientLimits(512, 30_000);
    }
}
