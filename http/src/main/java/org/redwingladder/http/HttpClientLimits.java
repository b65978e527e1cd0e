package org.redwingladder.http;

/**
 * Limits of the connections of an {@link AsyncHttpClient}.
 *
 * @param maxConnectionsPerAddress the maximum number of open connections to one address
 * @param idleMillis the idle timeout of a pooled connection
 * @param maxTotalBufferedBytes the bytes of response bodies that all calls buffer together, besides
 *     the first {@link #DEFAULT_MAX_BUFFERED_BYTES} of each; a body that exceeds them is streamed
 */
public record HttpClientLimits(
        int maxConnectionsPerAddress, int idleMillis, long maxTotalBufferedBytes) {
    private static final long DEFAULT_MAX_TOTAL_BUFFERED_BYTES = 64 << 20;

    /** The size up to which a response body is buffered before its first byte is forwarded. */
    public static final int DEFAULT_MAX_BUFFERED_BYTES = 64 * 1024;

    /** Creates limits with the default limit of all buffered bytes. */
    public HttpClientLimits(int maxConnectionsPerAddress, int idleMillis) {
        this(maxConnectionsPerAddress, idleMillis, DEFAULT_MAX_TOTAL_BUFFERED_BYTES);
    }

    public HttpClientLimits {
        if (maxConnectionsPerAddress < 1 || idleMillis < 1 || maxTotalBufferedBytes < 1) {
            throw new IllegalArgumentException("limits must be positive");
        }
    }

    /** Returns the default limits. */
    public static HttpClientLimits defaults() {
        return new HttpClientLimits(512, 30_000);
    }
}
